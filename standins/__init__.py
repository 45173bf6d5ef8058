"""Stand-ins on loopback for what a node communicates with: endpoints, discovery and clients."""

from standins.fleet import Fleet

__all__ = ["Fleet"]
