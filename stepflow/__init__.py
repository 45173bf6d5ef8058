"""stepflow: a balancer for long-lived connections; exports `Policy`, which makes its decisions."""

from stepflow.policy import Policy

__all__ = ["Policy"]
__version__ = "0.3.0"
