"""The admin HTTP address for operators: readiness and metrics."""
