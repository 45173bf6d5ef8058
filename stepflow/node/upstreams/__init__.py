"""Connections to endpoints: attempts, health checks, liveness and session reports."""
