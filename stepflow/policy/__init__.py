"""All decisions of stepflow. Its types, events and actions stand in stepflow/interface.py.

The ordinary path is EdgeBalance (docs/design.md): the predicted load of a server is its told
connection load times a slowly learned cost, a PID controller moves the weights of the servers
toward the average, and a new connection is placed once, by a weighted draw. No clock, no I/O.
"""

from stepflow.policy.load_model import EndpointState, LoadModel, RequestState
from stepflow.policy.policy import Policy
from stepflow.policy.weights import WeightController

__all__ = ["EndpointState", "LoadModel", "Policy", "RequestState", "WeightController"]
