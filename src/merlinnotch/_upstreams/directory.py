"""Following the platform's list of upstreams."""

import json
import time

import urllib3

from .._daemon.task import Task
from .._errors import MerlinnotchError
from .._links.link import PeerUnreachable
from .._peers import FetchListing, ListedUpstream, ListingReply

LIST_PATH = "/v1/health/service/upstream"
TIMEOUT_S = 1.0
PEERS_ASKED = 2


class PlatformUnavailable(MerlinnotchError):
    """The platform's list can't be read; the last one stays in use."""


class Directory(Task):
    """Reads the platform's list and hands it to the upstream table."""

    interval_s = 1.0

    def __init__(self, settings, table, peers, membership):
        super().__init__()
        self._peers = peers
        self._membership = membership
        peers.handlers[FetchListing] = self._answer_listing
        self._url = f"http://{settings.platform_address}{LIST_PATH}"
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self._table = table

    def run_once(self):
        try:
            rows = self._read_platform()
        except PlatformUnavailable:
            if len(self._table) == 0:
                self._ask_peers()
            raise
        # An empty list is more likely a fault than a platform without upstreams.
        if rows:
            self._table.replace_listing(rows)

    def _read_platform(self):
        try:
            reply = self._http.request("GET", self._url, timeout=TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(str(error)) from error
        if reply.status != 200:
            raise PlatformUnavailable(f"status {reply.status}")
        return [_parse_row(row["Service"]) for row in json.loads(reply.data)]

    def _ask_peers(self):
        """Start from what a peer knows while the platform is out of reach."""
        now = time.monotonic()
        for member in self._membership.pick_partners(now, PEERS_ASKED).values():
            try:
                reply = self._peers.request(member.address, FetchListing(), TIMEOUT_S)
            except PeerUnreachable:
                continue
            if reply.rows:
                self._table.replace_listing(reply.rows)
                return

    def _answer_listing(self, request):
        return ListingReply(tuple(upstream.listed for upstream in self._table))


def _parse_row(service):
    meta = service["Meta"]
    return ListedUpstream(
        id=service["ID"],
        address=f"{service['Address']}:{service['Port']}",
        zone=meta["zone"],
        pool=service["Service"],
        leaving=meta.get("state") == "leaving",
    )
