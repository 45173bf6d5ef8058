"""stepflow: the decisions of a balancer for long-lived connections."""

from stepflow.policy import Policy

__all__ = ["Policy"]
__version__ = "0.3.0"
