"""What is bounded for the whole fleet and divided among its nodes. Pure: no clock, no I/O."""
