"""Tests that docs/settings.md lists the keys that the parser reads, and of merged settings."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path

import pytest

from stepflow.interface import Settings, Tenant
from stepflow.settings import merge_settings, parse_node_settings
from stepflow.settings.reader import SettingsReader

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "settings.md").read_text()


def rows(title: str) -> list[list[str]]:
    """Return the cells of the table in a section, row by row."""
    section = PAGE.split(f"## {title}\n")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def keys(title: str) -> list[str]:
    return [key for row in rows(title) for key in re.findall(r"`([^`]+)`", row[0])]


def keys_read(monkeypatch: pytest.MonkeyPatch) -> set[str]:
    """Return the keys that the parser looks up in settings with one class and one tenant."""
    looked_up: set[str] = set()

    class RecordingTexts(dict[str, str]):
        def get(self, key: str, default: object = None) -> object:  # type: ignore[override]
            looked_up.add(re.sub(r"\.\d+\.", ".N.", key))
            return dict.get(self, key, default)

    original = SettingsReader.__init__

    def record_lookups(self: SettingsReader, pairs: Iterable[tuple[str, str]]) -> None:
        original(self, pairs)
        self.texts = RecordingTexts(self.texts)

    monkeypatch.setattr(SettingsReader, "__init__", record_lookups)
    parse_node_settings(
        {
            "classes": [{"name": "a"}],
            "tenants": [{"name": "t"}],
            "domain": {"tenant_quota_connections": [5.0]},
            "report": {"via": "probe", "fields": ["x0"]},
        }
    )
    return looked_up


def test_the_page_lists_the_keys_that_the_parser_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    listed = keys("Read")
    assert len(listed) == len(set(listed))
    assert set(listed) == keys_read(monkeypatch)
    assert not set(listed) & set(keys("Passed over, and why"))


def test_each_test_that_the_pages_name_exists() -> None:
    files = sorted((ROOT / "tests").rglob("*.py"))
    texts, stems = "".join(path.read_text() for path in files), {path.stem for path in files}
    for row in rows("Read"):
        assert f"def {row[-1]}(" in texts, row[-1]
    for page in ("discovery.md", "endings.md"):
        for name in re.findall(r"\btest_\w+", (ROOT / "docs" / page).read_text()):
            assert f"def {name}(" in texts or name in stems, name


def test_a_tenant_keeps_its_number_when_the_settings_change() -> None:
    def settings_with(*tenants: tuple[str, float]) -> Settings:
        return Settings(tenants=tuple(Tenant(name, share) for name, share in tenants))

    merged = merge_settings(settings_with(("a", 0.6), ("b", 0.4)), settings_with(("b", 0.7), ("c", 0.3)))
    assert [(t.name, t.share) for t in merged.tenants] == [("a", 0.0), ("b", 0.7), ("c", 0.3)]


def test_polling_the_endpoint_list_does_not_change_at_a_reload() -> None:
    assert merge_settings(Settings(polls_endpoint_list=True), Settings()).polls_endpoint_list
