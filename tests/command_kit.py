"""Runs commands of the command line."""

from __future__ import annotations

import os
import subprocess
import sys


def command(*words: str, **env: str) -> subprocess.CompletedProcess[str]:
    """Run one command to its end."""
    return subprocess.run(
        [sys.executable, "-m", "stepflow", *words],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **env},
    )
