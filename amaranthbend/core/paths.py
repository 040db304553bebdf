"""Normal form of paths, in which the prefixes of routes are compared with those of requests."""

from urllib.parse import unquote

__all__ = ["normalise_path"]


def normalise_path(target: str) -> str | None:
    """Return the normalised path of a target or prefix, None if the path is ambiguous.

    Percent-escapes are decoded (RFC 3986, section 6.2.2) and repeated slashes merged, as an
    upstream may do; also escapes of reserved characters. A path that matches one route here and
    another one at the upstream could bypass the claim that its route requires, so paths with dot
    segments are rejected.

    Parameters
    ----------
    target : str
        Path with or without a query, as received.
    """
    path = target.partition("?")[0]
    if "%" in path:
        path = unquote(path, "latin1")
    if "//" in path:
        segments = [segment for segment in path.split("/") if segment]
        end = "/" if path.endswith("/") and segments else ""
        path = "/" + "/".join(segments) + end
    if "/." in path and any(segment in (".", "..") for segment in path.split("/")):
        return None
    return path
