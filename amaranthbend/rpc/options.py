"""Options of grpcio for the small, regular messages between our own processes."""

__all__ = ["CHANNEL_OPTIONS", "SERVER_OPTIONS"]

# Bandwidth probing answers each message with an HTTP/2 ping, which costs more processor
# time than these messages themselves.
SERVER_OPTIONS = (("grpc.http2.bdp_probe", 0), ("grpc.so_reuseport", 0))
# Calls are repeated by the exchange itself, never by the library; addresses are IP numbers,
# and proxies from the environment must not be used.
CHANNEL_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.service_config_disable_resolution", 1),
)
