"""The decisions of stepflow. Settings, events and actions are defined in `stepflow.interface`.

The algorithm is EdgeBalance (docs/design.md): the predicted load of an endpoint is its reported session load
times a slowly learned cost, a PID controller adjusts the endpoints' weights so that their loads approach the
mean, and a new session is placed once, by a weighted draw. The package reads no clock and does no I/O.

Modules: `state` and `context` hold the shared state; `load_model`, `weights` and `slow_start` determine how
much load each endpoint gets; `requests`, `admission`, `selection`, `retry_safety`, `outliers` and `attempts`
place requests; `health_checks`, `migration`, `endpoint_list` and `periodic` do the background work; `policy`
dispatches events.
"""

from stepflow.policy.load_model import LoadModel
from stepflow.policy.policy import Policy
from stepflow.policy.state import EndpointState, RequestState
from stepflow.policy.weights import WeightController

__all__ = ["EndpointState", "LoadModel", "Policy", "RequestState", "WeightController"]
