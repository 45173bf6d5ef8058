"""The HTML page of a results folder: its texts, its independence of other files, and damaged folders."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from stepflow.fleet.compare import Comparison, Plan, Side, compare, save
from stepflow.fleet.report import ReportError, page, write
from tests.command_kit import command

TEXT = (
    "day {\n seconds 12\n servers 4\n nodes 1\n rate 5\n life 12\n}\nkind a {\n}\nkind <b> {\n speed 0.5\n}\n"
)


@pytest.fixture(scope="module")
def found() -> Comparison:
    return compare((Side(TEXT, "f", "random"), Side(TEXT, "f", "present")), Plan(3, 1), jobs=2)


def test_a_page_shows_the_intervals_of_compare_and_loads_nothing(found: Comparison, tmp_path: Path) -> None:
    save(found, tmp_path)
    assert write(tmp_path, tmp_path / "page.html") == 1
    text = (tmp_path / "page.html").read_text()
    one = found.difference("net")
    assert f"{one.mean:+.4f}" in text and f"{one.low:+.4f} to {one.high:+.4f}" in text
    assert text.count("<svg") == 6 and "Service over time" in text and "&lt;b&gt;" in text
    loaded = re.findall(r"(?:src|href)=\"([^\"#][^\"]*)\"|url\((?!#)|@import|<script", text)
    assert loaded == []
    second = page(tmp_path)
    assert second == text  # a second rendering is identical


def test_a_page_warns_of_extrapolation_and_of_an_early_end(found: Comparison, tmp_path: Path) -> None:
    seen = TEXT + "trace {\n utilization 0.01\n}\n"
    sides = (Side(seen, "f", "random"), found.sides[1])
    save(Comparison(sides, found.level, 2, found.rows, 9), tmp_path)
    text = page(tmp_path)
    assert "A extrapolates: up to" in text and "B extrapolates" not in text
    assert "Ended early: 3 of 9 days were played." in text


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        (lambda path: path.unlink(), "its runs can't be read"),
        (lambda path: path.write_bytes(path.read_bytes()[:-40]), "its runs can't be read"),
        (lambda path: path.with_suffix(".json").write_text("{"), "Input data was truncated"),
        (lambda path: path.with_suffix(".json").unlink(), "contains no comparison"),
    ],
)
def test_a_damaged_folder_raises_report_error_and_leaves_the_old_page(
    damage: object, message: str, found: Comparison, tmp_path: Path
) -> None:
    save(found, tmp_path)
    (runs,) = (path for path in tmp_path.glob("*.parquet") if "series" not in path.name)
    damage(runs)  # type: ignore[operator]
    out = tmp_path / "page.html"
    out.write_text("as it was")
    with pytest.raises(ReportError, match=message):
        write(tmp_path, out)
    assert out.read_text() == "as it was"


def test_the_report_command_writes_a_page_or_exits_with_an_error(found: Comparison, tmp_path: Path) -> None:
    save(found, tmp_path)
    done = command("fleet", "report", str(tmp_path), "-o", str(tmp_path / "page.html"))
    assert done.returncode == 0 and done.stdout.endswith("page.html: 1 comparisons\n")
    bad = command("fleet", "report", str(tmp_path / "none"), "-o", str(tmp_path / "page.html"))
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1
    nowhere = command("fleet", "report", str(tmp_path), "-o", str(tmp_path / "no" / "page.html"))
    assert nowhere.returncode == 2 and "No such file" in nowhere.stderr
