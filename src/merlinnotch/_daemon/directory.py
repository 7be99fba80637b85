"""Following the platform's list of upstreams."""

import json

import urllib3

from .._errors import MerlinnotchError
from .._routing import ListedUpstream
from .task import Task

LIST_PATH = "/v1/health/service/upstream"
TIMEOUT_S = 1.0


class PlatformUnavailable(MerlinnotchError):
    """The platform's list can't be read; the last one stays in use."""


class Directory(Task):
    """Reads the platform's list and hands it to the upstream table."""

    interval_s = 1.0

    def __init__(self, settings, table):
        super().__init__()
        self._url = f"http://{settings.platform_address}{LIST_PATH}"
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self._table = table

    def run_once(self):
        try:
            reply = self._http.request("GET", self._url, timeout=TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(str(error)) from error
        if reply.status != 200:
            raise PlatformUnavailable(f"status {reply.status}")
        rows = [_parse_row(row["Service"]) for row in json.loads(reply.data)]
        # An empty list is more likely a fault than a platform without upstreams.
        if rows:
            self._table.replace_listing(rows)


def _parse_row(service):
    meta = service["Meta"]
    return ListedUpstream(
        id=service["ID"],
        address=f"{service['Address']}:{service['Port']}",
        zone=meta["zone"],
        pool=service["Service"],
        leaving=meta.get("state") == "leaving",
    )
