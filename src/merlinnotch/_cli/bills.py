"""The ``merlinnotch bills`` command."""

from dataclasses import asdict

from cleo.helpers import option

from .._ledger import BUCKET_COUNT, BucketLog, Total, get_bucket, hash_request_key
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exit_codes import ExitCode

# Required by BucketLog; this command never writes.
WRITER_NAME = "operator"


class BillsCommand(OperatorCommand):
    """The ``bills`` command, which sums bills or shows the status of one request."""

    name = "bills"
    description = "Sum bills by team and version, or show the status of a request."
    options = [
        SETTINGS_OPTION,
        JSON_OPTION,
        option("team", None, "Only this team; required with --request.", flag=False),
        option("request", None, "Show this request of the team, by id.", flag=False),
    ]

    def run_command(self):
        store, _ = self.open_store()
        if self.option("request"):
            return self._show_request(store)
        totals = {}
        for bucket in range(BUCKET_COUNT):
            for account, total in _load_bucket_state(store, bucket).totals.items():
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
            self.line_error("--request requires --team")
            return ExitCode.USAGE
        key = hash_request_key(self.option("team"), self.option("request"))
        entry = _load_bucket_state(store, get_bucket(key)).entries.get(key)
        status = entry.status.name.lower() if entry else "none"
        row = {
            "request": self.option("request"),
            "status": status,
            "holder": entry.holder if entry else "",
            "at": entry.updated_at if entry else None,
        }
        if self.option("json"):
            self.print_json(row)
        else:
            self.line(f"{row['request']}: {status}")
        return ExitCode.OK


def _load_bucket_state(store, bucket):
    log = BucketLog(bucket, WRITER_NAME)
    log.load(store.read(log.prefix, recurse=True))
    return log.state
