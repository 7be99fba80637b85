"""What instances know of each other, and how they tell it."""

from .gossip import GossipState, Scope
from .leaving import Leaving
from .listing import ListedUpstream
from .load import LoadReport
from .member import Member
from .membership import Membership
from .messages import (
    MESSAGE_TYPES,
    AnswerReply,
    BeginReply,
    BeginRequest,
    DropCopies,
    FetchAnswer,
    FetchListing,
    GossipReply,
    GossipRequest,
    KeepCopies,
    ListingReply,
    RecordReply,
    RecordRequest,
    decode_message,
    encode_message,
)
from .quarantine import Quarantine
from .report import REPORT_EVERY_S, ZoneReport
from .tally import InstanceTally, Tally

__all__ = [
    "MESSAGE_TYPES",
    "AnswerReply",
    "BeginReply",
    "BeginRequest",
    "DropCopies",
    "FetchAnswer",
    "FetchListing",
    "GossipReply",
    "GossipRequest",
    "GossipState",
    "InstanceTally",
    "KeepCopies",
    "Leaving",
    "ListedUpstream",
    "ListingReply",
    "LoadReport",
    "Member",
    "Membership",
    "Quarantine",
    "REPORT_EVERY_S",
    "RecordReply",
    "RecordRequest",
    "Scope",
    "Tally",
    "ZoneReport",
    "decode_message",
    "encode_message",
]
