"""Tests the datagrams between members, and the failure detector."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.members import (
    MAX_DATAGRAM_BYTES,
    MAX_MEMBERS,
    DatagramError,
    LeaseGrant,
    LeaseRequest,
    LoanGrant,
    LoanRequest,
    Membership,
    MemberStatus,
    Message,
    decode,
    encode,
)
from stepflow.members.membership import DEAD_AFTER_US, SUSPECT_AFTER_US

U16, U32, U64 = st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1)
OWNERS = st.frozensets(st.integers(0, MAX_MEMBERS - 1))
LEASE_MESSAGES = st.builds(LeaseRequest, U16, U64, U32, OWNERS) | st.builds(LeaseGrant, U16, U64, U32, OWNERS)
LOAN_MESSAGES = st.builds(LoanRequest, U16, U64, U32, U32, U32, U64) | st.builds(
    LoanGrant, U16, U64, U32, U32, U32, U64
)


@given(LEASE_MESSAGES | LOAN_MESSAGES)
def test_a_message_is_decoded_unchanged_and_fits_a_datagram(message: Message) -> None:
    decoded = decode(encode(message))
    assert decoded == message and type(decoded) is type(message)
    assert len(encode(message)) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=300) | st.builds(lambda m, cut: encode(m)[:cut], LOAN_MESSAGES, st.integers(0, 40)))
def test_any_datagram_is_decoded_or_rejected(data: bytes) -> None:
    try:
        message = decode(data)
    except DatagramError:
        return
    assert encode(message) == data


@pytest.mark.parametrize(
    ("message", "datagram"),
    [
        (LeaseRequest(2, 3, 4, frozenset({0, 9})), "d50101 0200 0300000000000000 04000000 0102000000000000"),
        (LeaseGrant(2, 3, 4, frozenset({63})), "d50102 0200 0300000000000000 04000000 0000000000000080"),
        (
            LoanRequest(2, 3, 4, 5, 6),
            "d50103 0200 0300000000000000 04000000 05000000 06000000 0000000000000000",
        ),
        (
            LoanGrant(2, 3, 4, 5, 6, 7),
            "d50104 0200 0300000000000000 04000000 05000000 06000000 0700000000000000",
        ),
    ],
)
def test_each_kind_of_message_has_its_bytes(message: Message, datagram: str) -> None:
    assert encode(message) == bytes.fromhex(datagram)


@pytest.mark.parametrize(("offset", "value"), [(0, 0), (1, 2), (2, 9), (2, 0)])
def test_another_protocol_version_or_kind_is_rejected(offset: int, value: int) -> None:
    data = bytearray(encode(LoanRequest(1, 2, 3, 0, 0)))
    data[offset] = value
    with pytest.raises(DatagramError):
        decode(bytes(data))


def test_a_silent_member_is_suspected_then_dead_and_alive_in_its_next_incarnation() -> None:
    membership = Membership(0, 7, range(3), 0)
    assert membership.status_of(0, 1) == MemberStatus.UNKNOWN
    assert membership.record_message(100, 1, 50)
    assert membership.alive_members(100) == [0, 1]
    assert membership.status_of(100 + SUSPECT_AFTER_US, 1) == MemberStatus.SUSPECTED
    assert membership.status_of(100 + DEAD_AFTER_US, 1) == MemberStatus.DEAD
    assert membership.status_of(DEAD_AFTER_US, 2) == MemberStatus.DEAD
    assert membership.record_message(9_000_000, 1, 51)
    assert membership.status_of(9_000_000, 1) == MemberStatus.ALIVE


def test_messages_of_earlier_incarnations_and_of_unknown_members_change_nothing() -> None:
    membership = Membership(0, 7, range(3), 0)
    membership.record_message(0, 1, 51)
    assert not membership.record_message(5_000_000, 1, 50)
    assert membership.status_of(5_000_000, 1) == MemberStatus.DEAD
    assert not membership.record_message(0, 9, 1)
    assert not membership.record_message(0, 0, 6) and not membership.superseded


def test_a_newer_incarnation_of_its_own_member_supersedes_a_process() -> None:
    membership = Membership(0, 7, range(3), 0)
    membership.record_message(0, 0, 8)
    assert membership.superseded and membership.status_of(0, 0) == MemberStatus.DEAD
