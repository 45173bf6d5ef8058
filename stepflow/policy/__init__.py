"""All decisions of stepflow. Its settings, events and actions are in `stepflow.interface`.

The ordinary path is EdgeBalance (docs/design.md): the predicted load of an endpoint is its reported session
load times a slowly learned cost, a PID controller moves the endpoints' weights toward the mean load, and a
new session is placed once, by a weighted draw. No clock, no I/O.

Each module handles one matter: `state` and `context` hold what they share; `load_model`, `weights` and
`slow_start` say what endpoints bear; `requests`, `admission`, `selection`, `retry_safety`, `outliers` and
`attempts` place requests; `health_checks`, `migration`, `endpoint_list` and `periodic` do the rest; `policy`
routes events.
"""

from stepflow.policy.load_model import LoadModel
from stepflow.policy.policy import Policy
from stepflow.policy.state import EndpointState, RequestState
from stepflow.policy.weights import WeightController

__all__ = ["EndpointState", "LoadModel", "Policy", "RequestState", "WeightController"]
