"""docs/settings.md against the parser: what it calls read is read, and nothing else is."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from stepflow import settings as module
from stepflow.interface import Settings, Tenant
from stepflow.settings import merge_settings, parse_node_settings

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "settings.md").read_text()


def rows(title: str) -> list[list[str]]:
    """The cells of a section's table."""
    section = PAGE.split(f"## {title}\n")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def keys(title: str) -> list[str]:
    return [key for row in rows(title) for key in re.findall(r"`([^`]+)`", row[0])]


def keys_read(monkeypatch: pytest.MonkeyPatch) -> set[str]:
    """The keys that the parser asks for, of settings that have one class and one tenant."""
    asked: set[str] = set()

    class Pairs(dict[str, str]):
        def get(self, key: str, default: object = None) -> object:  # type: ignore[override]
            asked.add(re.sub(r"\.\d+\.", ".N.", key))
            return dict.get(self, key, default)

    made = module._Pairs.__init__

    def watched(self: module._Pairs, pairs: object) -> None:
        made(self, pairs)  # type: ignore[arg-type]
        self.pairs = Pairs(self.pairs)

    monkeypatch.setattr(module._Pairs, "__init__", watched)
    parse_node_settings(
        {
            "classes": [{"name": "a"}],
            "tenants": [{"name": "t"}],
            "domain": {"tenant_quota_connections": [5.0]},
            "report": {"via": "probe", "fields": ["x0"]},
        }
    )
    return asked


def test_the_page_calls_read_what_the_parser_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    told = keys("Read")
    assert len(told) == len(set(told))
    assert set(told) == keys_read(monkeypatch)
    assert not set(told) & set(keys("Passed over, and why"))


def test_each_test_that_the_page_names_is_there() -> None:
    files = sorted((ROOT / "tests").rglob("*.py"))
    texts, stems = "".join(path.read_text() for path in files), {path.stem for path in files}
    for row in rows("Read"):
        assert f"def {row[-1]}(" in texts, row[-1]
    for page in ("discovery.md", "endings.md"):
        for name in re.findall(r"\btest_\w+", (ROOT / "docs" / page).read_text()):
            assert f"def {name}(" in texts or name in stems, name


def test_a_tenant_keeps_its_number_when_the_settings_change() -> None:
    def told(*tenants: tuple[str, float]) -> Settings:
        return Settings(tenants=tuple(Tenant(name, share) for name, share in tenants))

    after = merge_settings(told(("a", 0.6), ("b", 0.4)), told(("b", 0.7), ("c", 0.3)))
    assert [(t.name, t.share) for t in after.tenants] == [("a", 0.0), ("b", 0.7), ("c", 0.3)]


def test_who_keeps_the_watch_does_not_change_while_the_node_runs() -> None:
    assert merge_settings(Settings(polls_endpoint_list=True), Settings()).polls_endpoint_list
