"""Tests of stepflow.members."""
