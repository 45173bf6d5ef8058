"""The node's core: connects the policy with clients, upstream connections and discovery."""

from stepflow.node.core.core import Attempt, Core, Discovery, Downstream, EventRecorder, RequestContext, Upstream

__all__ = ["Attempt", "Core", "Discovery", "Downstream", "EventRecorder", "RequestContext", "Upstream"]
