"""What one node infers from the little that it sees. Pure: no clock, no I/O; the policy asks."""
