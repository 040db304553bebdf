"""Which route a request belongs to."""

from typing import NamedTuple

from .paths import normalise_path
from .policy import DeploymentPolicy, RoutePolicy

__all__ = ["RouteMatch", "RouteTable"]


class RouteMatch(NamedTuple):
    """The route of a request; without one, the methods that other requests to the path may use."""

    route: RoutePolicy | None
    allowed_methods: tuple[str, ...] = ()


class RouteTable:
    """Routes of a configuration.

    Routes for the request's `Host` take precedence over routes for all hosts; among these, the
    route with the longest path prefix wins. Prefixes are normalised in the same way as paths.

    Parameters
    ----------
    policy : DeploymentPolicy
        Settings with the routes.
    """

    def __init__(self, policy: DeploymentPolicy) -> None:
        # Normalised prefixes and routes by host, the longest prefixes first.
        self._routes: dict[str, list[tuple[str, RoutePolicy]]] = {}
        prefixes = [(normalise_path(route.path_prefix), route) for route in policy.routes]
        known = [(prefix, route) for prefix, route in prefixes if prefix is not None]
        for prefix, route in sorted(known, key=lambda entry: len(entry[0]), reverse=True):
            self._routes.setdefault(route.host, []).append((prefix, route))

    def find(self, host: str, path: str, method: str) -> RouteMatch:
        """Return the route of a request.

        Parameters
        ----------
        host : str
            Value of its `Host` field, with or without a port.
        path : str
            Its normalised path.
        method : str
            Its HTTP method.
        """
        name = host.rpartition(":")[0] or host
        candidates = self._routes.get(name.lower(), []) + self._routes.get("", [])
        allowed: set[str] = set()
        for prefix, route in candidates:
            if not path.startswith(prefix):
                continue
            if not route.methods or method in route.methods:
                return RouteMatch(route)
            allowed.update(route.methods)
        return RouteMatch(None, tuple(sorted(allowed)))

    def list_prefixes(self, host: str) -> list[str]:
        """Return the path prefixes of the routes for a host, in alphabetical order."""
        name = host.rpartition(":")[0] or host
        candidates = self._routes.get(name.lower(), []) + self._routes.get("", [])
        return sorted({route.path_prefix for _prefix, route in candidates})

    def list_hosts(self) -> list[str]:
        """Return the host names of the routes, in alphabetical order."""
        return sorted(self._routes.keys() - {""})
