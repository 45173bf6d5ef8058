"""The operator's file: its values and its error messages."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.daemon import FileError, Log, OperatorFile, Record, parse, read, read_text

KEY = "0123456789abcdef"


def test_complete_file_is_read() -> None:
    model = read_text(
        f"""
        # what the log looks like
        log {{
            form json   # for the collector
        }}
        record {{
            folder "/var/lib/step flow"
            key {KEY}
            segment 64M
            segments 3
        }}
        """,
        "f",
    )
    assert model == OperatorFile(Log(form="json"), Record("/var/lib/step flow", KEY, 64 << 20, 3))


def test_shipped_file_equals_the_defaults() -> None:
    assert read("deploy/stepflow.conf") == OperatorFile()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("log {\n form yaml\n}", "f:2: log.form: Invalid enum value 'yaml'"),
        ("log {\n color on\n}", "f:2: log.color: no such directive"),
        ("\n\nshout {\n}", "f:3: shout: no such directive"),
        ("log {\n form text\n form json\n}", "f:3: log.form: duplicate directive"),
        ("log {\n}\nlog {\n}", "f:3: log: duplicate directive"),
        ("log {\n form\n}", "f:2: log.form: takes one value, not 0"),
        ("log json", "f:1: log: not a block"),
        ("log {\n form text", "f:1: log: block is not closed"),
        ("}", "f:1: '}' without a block"),
        ("{", "f:1: a block without a name"),
        ("log {\n form {\n }\n}", "f:2: form: nested block in 'log'"),
        ("log { form text }", "f:1: log: unexpected brace"),
        ('log {\n form "text\n}', "f:2: unterminated quote"),
        (f"record {{\n folder x\n key {KEY}\n segment 3T\n}}", "f:4: record.segment: '3T' is not a size"),
        (
            f"record {{\n folder x\n key {KEY}\n segment 1K\n}}",
            "f:4: record.segment: Expected `int` >= 65536",
        ),
        (f"record {{\n folder x\n key {KEY}\n segments no\n}}", "f:4: record.segments: 'no' is not a whole"),
        ("record {\n folder x\n key short\n}", "f:3: record.key: Expected `str` of length >= 16"),
        ("record {\n folder x\n}", "f:1: record: Object missing required field `key`"),
    ],
)
def test_error_names_the_line_and_the_directive(text: str, message: str) -> None:
    with pytest.raises(FileError) as error:
        read_text(text, "f")
    assert str(error.value).startswith(message) and "\n" not in str(error.value)


@given(st.text(alphabet="ab{}#\" \n\t\\'", max_size=60))
def test_any_text_is_parsed_or_raises_a_file_error(text: str) -> None:
    try:
        lines = [directive.line for directive in parse(text, "f")]
    except FileError as error:
        assert str(error).startswith("f:")
    else:
        assert lines == sorted(lines)
