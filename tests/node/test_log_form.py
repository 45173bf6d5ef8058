"""The form of the log, which the operator's file sets."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from tests.node_kit import FakeEndpoint, Node, open_line


def test_the_form_of_the_log_follows_the_operators_file_across_reloads(tmp_path: Path) -> None:
    path = tmp_path / "op.conf"
    path.write_text("log {\n form json\n}\n")
    node = Node(FakeEndpoint("s-1"))
    node.env["STEPFLOW_CONF"] = str(path)
    with node:
        assert node.client(open_line()).read() == "UP r1"
        path.write_text("log {\n form yaml\n}\n")
        node.process.send_signal(signal.SIGHUP)
        event = json.loads(node.wait_for_log("reload failed").string)
        assert event["level"] == "warning" and event["fault"].startswith(f"{path}:2: log.form: ")
        path.write_text("log {\n form text\n}\n")
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("level=info event=reloaded ")
