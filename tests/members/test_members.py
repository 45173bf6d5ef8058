"""Stories of what neighbours tell each other: the datagram, and who is held to be there."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.members import MOST_BYTES, BadMessage, Kind, Message, Standing, View, read, written
from stepflow.members.membership import GONE_US, SUSPECT_US

U16, U32, U64 = st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1)
NONE = st.just(0)
LEASES = st.builds(
    Message,
    st.sampled_from([Kind.RENEW, Kind.GRANTED]),
    U16,
    U64,
    U32,
    U64,
    whole=NONE,
    amount=NONE,
    for_us=NONE,
)
LOANS = st.builds(Message, st.sampled_from([Kind.LEND, Kind.LENT]), U16, U64, U32, NONE, U32, U32, U64)


@given(LEASES | LOANS)
def test_a_message_is_what_was_written_and_fits_a_datagram(message: Message) -> None:
    assert read(written(message)) == message and len(written(message)) <= MOST_BYTES


@given(st.binary(max_size=300) | st.builds(lambda m, cut: written(m)[:cut], LOANS, st.integers(0, 40)))
def test_no_datagram_raises_anything_else(data: bytes) -> None:
    try:
        message = read(data)
    except BadMessage:
        return
    assert written(message) == data


@pytest.mark.parametrize(("at", "value"), [(0, 0), (1, 2), (2, 9), (2, 0)])
def test_another_protocol_or_version_is_nobody_s(at: int, value: int) -> None:
    data = bytearray(written(Message(Kind.LEND, 1, 2, 3)))
    data[at] = value
    with pytest.raises(BadMessage):
        read(bytes(data))


def test_a_neighbour_that_falls_silent_is_suspected_then_gone_and_back_as_somebody_new() -> None:
    view = View(0, 7, range(3), 0)
    assert view.standing(0, 1) == Standing.UNHEARD
    assert view.heard(100, 1, 50)
    assert view.alive(100) == [0, 1]
    assert view.standing(100 + SUSPECT_US, 1) == Standing.SUSPECTED
    assert view.standing(100 + GONE_US, 1) == Standing.GONE == view.standing(GONE_US, 2)
    assert view.heard(9_000_000, 1, 51) and view.standing(9_000_000, 1) == Standing.ALIVE


def test_a_message_from_an_incarnation_before_last_changes_nothing() -> None:
    view = View(0, 7, range(3), 0)
    view.heard(0, 1, 51)
    assert not view.heard(5_000_000, 1, 50)
    assert view.standing(5_000_000, 1) == Standing.GONE
    assert not view.heard(0, 9, 1) and not view.heard(0, 0, 6) and not view.superseded


def test_who_hears_of_a_newer_process_under_its_own_name_is_nobody_any_more() -> None:
    view = View(0, 7, range(3), 0)
    view.heard(0, 0, 8)
    assert view.superseded and view.standing(0, 0) == Standing.GONE
