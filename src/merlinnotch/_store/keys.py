"""Names of merlinnotch's keys in the store."""

ROOT = "merlinnotch/"

LIVE_PREFIX = f"{ROOT}live/"
"""The prefix of the keys that every instance watches."""

REVISION_KEY = f"{LIVE_PREFIX}revision"
QUARANTINE_PREFIX = f"{LIVE_PREFIX}quarantine/"
HISTORY_PREFIX = f"{ROOT}history/"
STATUS_PREFIX = f"{ROOT}status/"
LEDGER_PREFIX = f"{ROOT}ledger/"
ORDERS_PREFIX = f"{ROOT}orders/"
