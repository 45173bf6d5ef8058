"""Tests of the policy: its decisions on single events, in long runs, and in the fleet model."""
