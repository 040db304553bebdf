"""gRPC protocol between the load balancer's own processes, with its generated code."""
