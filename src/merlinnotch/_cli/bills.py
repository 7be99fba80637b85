"""``merlinnotch bills``."""

from dataclasses import asdict

from cleo.helpers import option

from .._ledger import BUCKETS, BucketLog, Total, bucket_of, hash_request_key
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exits import ExitCode

READER = "operator"


class BillsCommand(OperatorCommand):
    """Sums bills, or shows one request."""

    name = "bills"
    description = "Sum bills by team and version, or show where a request stands."
    options = [
        SETTINGS_OPTION,
        JSON_OPTION,
        option("team", None, "Only this team; needed with --request.", flag=False),
        option("request", None, "A request id of that team.", flag=False),
    ]

    def run_command(self):
        store, _ = self.open_store()
        if self.option("request"):
            return self._show_request(store)
        totals = {}
        for bucket in range(BUCKETS):
            for account, total in _load_state(store, bucket).totals.items():
                totals[account] = totals.get(account, Total()).add(total)
        team = self.option("team")
        rows = [
            {"team": account[0], "version": account[1], **asdict(totals[account])}
            for account in sorted(totals)
            if team in (None, account[0])
        ]
        if self.option("json"):
            self.print_json(rows)
            return ExitCode.OK
        for row in rows:
            self.line(
                f"{row['team']:24} {row['version']:24} {row['requests']:8} requests "
                f"{row['tokens']:10} tokens  {row['cost_micros'] / 1e6:.6f}"
            )
        return ExitCode.OK

    def _show_request(self, store):
        if not self.option("team"):
            self.line_error("--request needs --team")
            return ExitCode.USAGE
        key = hash_request_key(self.option("team"), self.option("request"))
        entry = _load_state(store, bucket_of(key)).entries.get(key)
        status = entry.status.name.lower() if entry else "none"
        row = {
            "request": self.option("request"),
            "status": status,
            "holder": entry.holder if entry else "",
            "at": entry.at if entry else None,
        }
        if self.option("json"):
            self.print_json(row)
        else:
            self.line(f"{row['request']}: {status}")
        return ExitCode.OK


def _load_state(store, bucket):
    log = BucketLog(bucket, READER)
    log.load(store.read(log.prefix, recurse=True))
    return log.state
