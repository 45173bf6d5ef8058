"""Limits that hold for the whole fleet and are divided among its nodes. Pure: no clock, no I/O."""
