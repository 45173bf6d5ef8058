"""Estimates that the policy of one node makes from its own traffic. No clock, no I/O."""
