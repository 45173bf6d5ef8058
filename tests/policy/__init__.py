"""Tests of the policy: its decisions on events fed by hand, in long runs, and in the model of a fleet."""
