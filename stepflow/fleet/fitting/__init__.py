"""Fits a scenario to a trace: estimates the traffic and the servers, with confidence intervals.

`estimators` has the estimators of single figures, `sessions` the typed rows of a trace. `arrivals`, `classes`
and `servers` each fit a part of the scenario and add their estimates to a `Fit`; `scenario_text` renders the
`Fit` as a scenario file.
"""

from stepflow.fleet.fitting.arrivals import fit_arrivals
from stepflow.fleet.fitting.classes import fit_classes
from stepflow.fleet.fitting.result import Fit, FitError
from stepflow.fleet.fitting.scenario_text import scenario_text
from stepflow.fleet.fitting.servers import fit_servers
from stepflow.fleet.fitting.sessions import SECOND, sessions_of
from stepflow.fleet.scenario import Day
from stepflow.fleet.trace import Trace

__all__ = ["Fit", "FitError", "fit", "scenario_text"]


def fit(trace: Trace, group_load: float = Day.group_load) -> Fit:
    """Fit a scenario to a trace. What the trace doesn't show keeps its default and is listed in `absent`.

    `group_load` is the load that an affinity group adds to its server beside the loads of its sessions, in
    mean session loads; no trace shows this load. Raises FitError for a trace without connections or without
    duration.
    """
    manifest = trace.manifest
    sessions = sessions_of(trace)
    seconds = (manifest.to_us - manifest.from_us) / SECOND
    if seconds <= 0 or not sessions:
        raise FitError(f"{trace.folder}: contains no connection")
    result = Fit(nodes=len({source.node for source in manifest.sources}))
    fit_arrivals(result, sessions, seconds, manifest.from_us)
    fit_classes(result, manifest.classes, sessions, manifest.from_us)
    result.groups = max(1, len({session.group for session in sessions if session.group}))
    fit_servers(result, trace, sessions, group_load)
    return result
