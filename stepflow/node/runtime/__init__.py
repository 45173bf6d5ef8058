"""The runtime that all parts of a node share, below requests and connections.

Time: `clock`, `timers`, `wall_clock`. Twisted: `reactor`, `transports`, `connection`, `lines`. The process:
`garbage`. Records of the traffic: `slots`, `counters`, `request_log`, `connection_log`, `session_log`.
Nothing here depends on the policy, or on the classes of clients and endpoints.
"""
