"""Tests of stepflow.budgets."""
