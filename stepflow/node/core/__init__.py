"""The node's core: connects the policy with clients, upstream connections and discovery.

`interfaces` has the protocols of the core's neighbours, `requests` the table of requests and their answers,
`attempts` the life of attempts, `event_queue` the policy's input, `action_handlers` its output; `core` is
what others call.
"""

from stepflow.node.core.core import Core
from stepflow.node.core.event_queue import EventRecorder
from stepflow.node.core.interfaces import Attempt, Discovery, Downstream, RequestContext, Upstream

__all__ = ["Attempt", "Core", "Discovery", "Downstream", "EventRecorder", "RequestContext", "Upstream"]
