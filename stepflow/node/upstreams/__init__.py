"""Connections to endpoints: attempts, health checks, liveness and load reports."""
