"""The request ledger: claims and bills in sharded append-only logs in the store."""

from .batch import Batch
from .bill import Bill
from .bucket import BUCKET_COUNT, get_bucket, hash_request_key
from .claim import Claim
from .log import BucketLog, PendingRecord
from .query import Query
from .record_result import RecordResult, RecordStatus
from .release import Release
from .state import BucketState, Entry, RequestStatus, Total

__all__ = [
    "BUCKET_COUNT",
    "Batch",
    "Bill",
    "BucketLog",
    "BucketState",
    "Claim",
    "Entry",
    "PendingRecord",
    "Query",
    "RecordResult",
    "RecordStatus",
    "Release",
    "RequestStatus",
    "Total",
    "get_bucket",
    "hash_request_key",
]
