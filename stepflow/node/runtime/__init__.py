"""What all parts of a node share: clock, timers, reactor, slots, counters and the line codec."""
