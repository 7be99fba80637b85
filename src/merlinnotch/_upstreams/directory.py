"""Discovery of upstreams from the platform's service catalogue."""

import logging
import time

import urllib3

from .._daemon.task import Task
from .._errors import MerlinnotchError
from .._links.link import PeerUnreachable
from .._peers import FetchListing, ListingReply
from .._pooled_http import make_pool_manager, send_call
from .listing import decode_listing

logger = logging.getLogger("merlinnotch")

LIST_PATH = "/v1/health/service/upstream"
TIMEOUT_S = 1.0
MAX_LISTING_BYTES = 16 << 20
"""Some kilobytes for each of thousands of upstreams."""
MAX_PEERS_QUERIED = 2
MAX_LOGGED_FAULTS = 5


class PlatformUnavailable(MerlinnotchError):
    """The platform's list of upstreams can't be read; the last one stays in use."""


class Directory(Task):
    """Polls the platform's list of upstreams and updates the upstream table.

    If the platform is unreachable and the table empty, the list of a peer is used.
    """

    interval_s = 1.0

    def __init__(self, settings, table, peers, membership):
        super().__init__()
        self._peers = peers
        self._membership = membership
        peers.handlers[FetchListing] = self._handle_fetch_listing
        self._url = f"http://{settings.platform_address}{LIST_PATH}"
        self._http = make_pool_manager(maxsize=1, retries=False)
        self._table = table
        self._faults = ()

    def run_once(self):
        try:
            listing = self._fetch_listing()
        except PlatformUnavailable:
            if len(self._table) == 0:
                self._load_from_peers()
            raise
        # An empty list more likely comes from a fault than from a lack of upstreams.
        if listing.rows:
            self._table.replace_listing(listing.rows)
        self._record_faults(listing.faults)

    def _record_faults(self, faults):
        if faults != self._faults:
            fields = {"count": len(faults), "faults": faults[:MAX_LOGGED_FAULTS]}
            logger.warning("invalid rows in the list of upstreams", extra=fields)
        self._faults = faults

    def _fetch_listing(self):
        try:
            reply = send_call(
                self._http, "GET", self._url, TIMEOUT_S, MAX_LISTING_BYTES
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(str(error)) from error
        if reply.status != 200:
            raise PlatformUnavailable(f"status {reply.status}")
        try:
            return decode_listing(reply.data)
        except ValueError as error:
            raise PlatformUnavailable(f"malformed list: {error}") from error

    def _load_from_peers(self):
        """Fill the table with the listing of the first peer that has one."""
        now = time.monotonic()
        for member in self._membership.pick_partners(now, MAX_PEERS_QUERIED).values():
            try:
                reply = self._peers.request(member.address, FetchListing(), TIMEOUT_S)
            except PeerUnreachable:
                continue
            if reply.rows:
                self._table.replace_listing(reply.rows)
                return

    def _handle_fetch_listing(self, request):
        return ListingReply(tuple(upstream.listed for upstream in self._table))
