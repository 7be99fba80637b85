"""Names of the keys that merlinnotch uses in the store."""

ROOT = "merlinnotch/"

LIVE_PREFIX = f"{ROOT}live/"
"""Prefix of the few keys that every instance watches."""

REVISION_KEY = f"{LIVE_PREFIX}revision"
QUARANTINE_PREFIX = f"{LIVE_PREFIX}quarantine/"
HISTORY_PREFIX = f"{ROOT}history/"
STATUS_PREFIX = f"{ROOT}status/"
LEDGER_PREFIX = f"{ROOT}ledger/"
ORDERS_PREFIX = f"{ROOT}orders/"
