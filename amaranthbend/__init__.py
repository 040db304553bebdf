"""Load balancer for servers whose load changes within milliseconds."""

__all__ = ["__version__"]

__version__ = "0.1.0"
