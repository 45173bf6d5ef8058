"""The membership of the nodes that share limits, and their messages. Pure: no socket, no clock."""

from stepflow.members.datagrams import MAX_DATAGRAM_BYTES, MAX_MEMBERS, DatagramError, decode, encode
from stepflow.members.membership import Membership, MemberStatus
from stepflow.members.messages import LeaseGrant, LeaseRequest, LoanGrant, LoanRequest, Message

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_MEMBERS",
    "DatagramError",
    "LeaseGrant",
    "LeaseRequest",
    "LoanGrant",
    "LoanRequest",
    "MemberStatus",
    "Membership",
    "Message",
    "decode",
    "encode",
]
