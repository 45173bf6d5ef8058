"""What all parts of a node share, below requests and connections.

Time (`clock`, `timers`, `wall_clock`), Twisted (`reactor`, `transports`, `lines`), the process (`garbage`),
and what is kept of the traffic (`slots`, `counters`, `request_log`). Nothing here knows the policy or a peer.
"""
