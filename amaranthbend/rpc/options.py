"""gRPC options for the small, periodic messages between the load balancer's processes."""

__all__ = ["CHANNEL_OPTIONS", "SERVER_OPTIONS"]

# Bandwidth-delay product probing sends an HTTP/2 ping after each message received, which costs
# more CPU time than these messages themselves.
SERVER_OPTIONS = (("grpc.http2.bdp_probe", 0), ("grpc.so_reuseport", 0))
# Only the code that makes a call may retry it, never the library. Targets are IP addresses, so
# no service configuration is looked up in DNS. Proxies from the environment must not be used.
CHANNEL_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.service_config_disable_resolution", 1),
)
