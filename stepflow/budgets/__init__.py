"""Divides limits of the whole fleet among its nodes. Pure: no clock, no I/O."""
