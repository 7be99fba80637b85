"""Membership, gossip state and messages between instances."""

from .._rendezvous_hashing import get_highest_ranked, rank_names
from .gossip import GossipState
from .heartbeat import Heartbeat
from .leaving import Leaving
from .listing import ListedUpstream
from .load import LoadedVersions, LoadReport
from .member import Member
from .membership import Membership
from .messages import (
    MESSAGE_TYPES,
    AnswerReply,
    BeginReply,
    BeginRequest,
    DeleteBillCopies,
    FetchAnswer,
    FetchListing,
    GossipReply,
    GossipRequest,
    ListingReply,
    RecordReply,
    RecordRequest,
    StoreBillCopies,
    decode_message,
    encode_message,
)
from .quarantine import Quarantine
from .report import REPORT_EVERY_S, MemberReport, ZoneReport
from .tally import InstanceTally, Tally
from .zone import ZoneView

__all__ = [
    "MESSAGE_TYPES",
    "REPORT_EVERY_S",
    "AnswerReply",
    "BeginReply",
    "BeginRequest",
    "DeleteBillCopies",
    "FetchAnswer",
    "FetchListing",
    "GossipReply",
    "GossipRequest",
    "GossipState",
    "Heartbeat",
    "InstanceTally",
    "Leaving",
    "ListedUpstream",
    "ListingReply",
    "LoadReport",
    "LoadedVersions",
    "Member",
    "MemberReport",
    "Membership",
    "Quarantine",
    "RecordReply",
    "RecordRequest",
    "StoreBillCopies",
    "Tally",
    "ZoneReport",
    "ZoneView",
    "decode_message",
    "encode_message",
    "get_highest_ranked",
    "rank_names",
]
