"""Runs commands of the stepflow command line."""

from __future__ import annotations

import os
import subprocess
import sys


def command(*words: str, **env: str) -> subprocess.CompletedProcess[str]:
    """Run a command and return its result; `env` adds to the environment."""
    return subprocess.run(
        [sys.executable, "-m", "stepflow", *words],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **env},
    )
