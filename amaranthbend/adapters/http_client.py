"""HTTP client for calls to the platform and to other hosts."""

from tornado.simple_httpclient import SimpleAsyncHTTPClient

__all__ = ["MAX_RESPONSE_BYTES", "make_http_client"]

# Limits the memory that a response without end fills until its timeout: several times the largest
# object of the platform, since one response can contain several.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_CLIENTS = 10


def make_http_client(max_clients: int = DEFAULT_MAX_CLIENTS) -> SimpleAsyncHTTPClient:
    """Return a client that limits the size of responses, and follows no redirects.

    A response whose header exceeds the client's limit makes `fetch` raise
    `tornado.iostream.UnsatisfiableReadError`.

    Parameters
    ----------
    max_clients : int
        Maximum number of concurrent calls.
    """
    return SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
        max_buffer_size=MAX_RESPONSE_BYTES,
        # The platform and other hosts redirect no calls; a faulty one could send them anywhere.
        defaults={"follow_redirects": False},
    )
