"""Tests of stepflow.upstream."""
