"""The normal form in which prefixes of routes and paths of requests are compared."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.core.paths import normalise_path
from amaranthbend.core.policy import DeploymentPolicy, RoutePolicy
from amaranthbend.core.route_table import RouteTable
from amaranthbend.platform.documents import decode_configuration
from standins.node_caller import make_configuration

SEGMENTS = st.text(st.sampled_from("ab.~-_õ %/"), min_size=1, max_size=4)


def find_route(path: str, *prefixes: str) -> str | None:
    """Return the prefix of the route that a request gets."""
    routes = tuple(RoutePolicy(prefix, prefix, (), "desk") for prefix in prefixes)
    table = RouteTable(DeploymentPolicy("d", {}, routes))
    normalised = normalise_path(path)
    assert normalised is not None
    route = table.find("shop.example", normalised, "GET").route
    return None if route is None else route.path_prefix


@pytest.mark.parametrize(
    ("prefix", "path"),
    [
        ("/ee/v%C3%B5ru/", "/ee/v%C3%B5ru/1"),
        ("/ee/v%C3%B5ru/", "/ee/v%c3%b5ru/1"),
        ("/ee/%62/", "/ee/b/1"),
        ("/ee/b/", "/ee/%62/1"),
        ("/ee/a%20b/", "/ee/a%20b/"),
        ("/ee//b/", "/ee/b/1"),
        ("/ee/b/", "/ee//b//1"),
        ("/ee/b/", "/ee/b//"),
    ],
)
def test_prefix_begins_the_paths_that_name_the_same(prefix: str, path: str) -> None:
    """Guards against requests that run at the service of a shorter prefix (CONFIG).

    Seen in a review trial: ten of ten requests to an added route with an escape in its prefix.
    """
    assert find_route(path, "/ee/", prefix) == prefix
    assert find_route("/ee/other/1", "/ee/", prefix) == "/ee/"
    # The slash at the end of a prefix is part of it.
    assert find_route(path.rstrip("/1") + "x", "/ee/", prefix) == "/ee/"


@given(st.lists(SEGMENTS, max_size=4))
def test_normal_form_is_normal(segments: list[str]) -> None:
    """Guards against a form that depends on how often it is taken, and lost ends of prefixes."""
    path = "/" + "/".join(segments).replace("%", "%25") + "/"
    normalised = normalise_path(path)
    if normalised is None:
        return
    assert normalised.startswith("/")
    assert normalised.endswith("/")
    assert "//" not in normalised


def test_route_that_no_request_can_match_is_a_fault() -> None:
    """Guards against a route that is missing without a line in the log."""
    configuration = make_configuration(2)
    rules = configuration["listeners"][0]["rules"]
    rules.append({**rules[0], "match": {"pathPrefix": "/a/../b/"}})
    decoded = decode_configuration(configuration)
    assert len(decoded.policy.routes) == 2
    assert any("pathPrefix" in fault for fault in decoded.faults)
