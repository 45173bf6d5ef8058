"""The node's core: connects the policy with clients, upstream connections and discovery.

`core` is the entry point for the rest of the node. `interfaces` defines the protocols of the components that
the core calls, `requests` the request table and the answers, `attempts` the life cycle of attempts,
`event_queue` the policy's input and `action_handlers` its output.
"""

from stepflow.node.core.core import Core
from stepflow.node.core.event_queue import EventRecorder
from stepflow.node.core.interfaces import Attempt, Discovery, Downstream, RequestContext, Upstream

__all__ = ["Attempt", "Core", "Discovery", "Downstream", "EventRecorder", "RequestContext", "Upstream"]
