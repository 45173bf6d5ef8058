"""The conditions of the fleet test: calls that the platform refuses, memory, and loaded modules."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line

ROOT = Path(__file__).resolve().parent.parent
# Before issue 33 an idle node had loaded 364 modules, 311 of them from outside stepflow; before most modules
# were imported lazily it had loaded 457 in all, stepflow's own included. The node's own modules are many but
# small; MAX_PRIVATE_MB limits their memory.
MAX_FOREIGN_MODULES = 312
MAX_PRIVATE_MB = 21.0


def test_deployed_run_command_execs_python() -> None:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert re.fullmatch(r"exec \S*python -m stepflow", run)


@pytest.mark.parametrize("unix", [True, False])
def test_node_makes_no_call_that_the_platform_refuses_from_start_to_shutdown(unix: bool) -> None:
    """Start, SIGHUP that moves discovery, a served session, SIGTERM: no program, no fork, IPv4 only.

    If Unix sockets are refused too, the node serves as well and logs once that it can't be replaced.
    """
    node = Node(endpoint := FakeEndpoint("s-1"), module="tests.refused")
    if not unix:
        node.env["REFUSED_UNIX"] = "1"
    with node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        new_discovery = Discovery()
        node.reload(discovery=new_discovery.address)
        assert new_discovery.watch_paths.get(timeout=TIMEOUT_S).startswith("/v1/servers?watch=1")
        client.send("M 1")
        assert client.read() == "M 1"
        assert node.call_admin("/v1/readyz")[0] == 200
        node.terminate()
        assert client.read() == "MOVE"
        log = node.wait_exit()
        assert node.process.returncode == 0
        new_discovery.close()
    assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
    assert log.count("listening for a successor failed") == (0 if unix else 1)
    assert log.count("refused ") == (0 if unix else 1), log


def test_hook_refuses_each_forbidden_call() -> None:
    """Each of these calls raises under the hook, so that the test above can fail."""
    code = (
        "import tests.refused as r, sys, os, socket, subprocess\n"
        "sys.addaudithook(r.hook)\n"
        "os.sendfile = r.refuse_copy\n"
        "for call in (os.fork, lambda: subprocess.Popen(['true']), lambda: os.system('true'),\n"
        "             lambda: os.posix_spawn('/bin/true', ['true'], {}), lambda: os.sendfile(1, 0, 0, 1),\n"
        "             lambda: socket.socket(socket.AF_INET6)):\n"
        "    try:\n"
        "        call()\n"
        "    except OSError:\n"
        "        print('raised')\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT
    )
    assert completed.stdout.split() == ["raised"] * 6 and completed.stderr.count("refused ") == 6


def test_node_without_a_handover_folder_serves_clients() -> None:
    node = Node(FakeEndpoint("s-1"))
    node.env["TMPDIR"] = f"{node.temp_dir}/not/there"
    with node:
        assert node.client(open_line()).read() == "UP r1"
        node.terminate()
        log = node.wait_exit()
    assert log.count("listening for a successor failed") == 1


def test_private_memory_of_an_idle_node_is_below_its_limit() -> None:
    """200 nodes share a machine. The answer to SIGUSR1 shows that the node is idle and no longer starting."""
    with Node(FakeEndpoint("s-1")) as node:
        node.process.send_signal(signal.SIGUSR1)
        node.wait_for_log("counters: ")
        pages = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text()
    private = re.search(r"Private_Dirty: *(\d+) kB", pages)
    assert private is not None and int(private[1]) / 1024 < MAX_PRIVATE_MB


def loaded(code: str) -> set[str]:
    """Return the names of the modules that a new interpreter has loaded after running the code."""
    completed = subprocess.run(
        [sys.executable, "-c", f"{code}\nimport json, sys; print(json.dumps(sorted(sys.modules)))"],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
        cwd=ROOT,
    )
    return set(json.loads(completed.stdout.splitlines()[-1]))


LEAN = (
    "from stepflow import lazy_imports; lazy_imports.install(); "
    "import stepflow.node.process.start, stepflow.node.process.run"
)


def test_node_loads_few_foreign_modules_and_none_that_only_commands_need() -> None:
    names = loaded(LEAN)
    foreign = {name for name in names if not name.startswith("stepflow")}
    assert len(foreign) <= MAX_FOREIGN_MODULES, len(foreign)
    # Only commands use these modules.
    heavy = {"click", "numpy", "scipy", "pyarrow", "matplotlib", "rich", "simpy", "hypothesis"}
    assert not heavy & names and {"structlog", "msgspec", "twisted", "h11"} <= names
    assert not {"asyncio.base_events", "email", "xml", "urllib.request", "ssl", "twisted.web"} & names


@pytest.mark.parametrize(
    "use",
    [
        "import asyncio; asyncio.run(asyncio.sleep(0)); assert asyncio.Future is asyncio.futures.Future",
        "from asyncio import *; sleep",
        "import asyncio.subprocess; asyncio.subprocess.PIPE",
        "import logging; logging.getLogger('x').debug('y'); from logging import handlers",
        "import http.cookiejar; http.cookiejar.CookieJar()",
        "from structlog.testing import capture_logs; capture_logs",
    ],
)
def test_lazily_imported_modules_are_complete_once_used(use: str) -> None:
    assert loaded(f"{LEAN}\n{use}")
