"""What scenarios act upon: a small stack, and the replies so far."""

import json
import pathlib
import shutil
import threading
from dataclasses import dataclass, field

import urllib3

from standins import http
from standins.layout import AUTHORITY, EngineSpec, Layout
from standins.stack import ROOT, Stack, wait_for

TEAM = "claims-desk"
ZONES = ("zone-a", "zone-a", "zone-b", "zone-b")

LAYOUT = Layout(
    example=AUTHORITY.example,
    service_pool=AUTHORITY.service_pool,
    versions=AUTHORITY.versions,
    qualities=AUTHORITY.qualities,
    entry_zones=ZONES,
    engines=(EngineSpec("engine-0", "zone-a"), EngineSpec("engine-1", "zone-b")),
    service_zones=("zone-a", "zone-b"),
    drain_s=0.5,
)


@dataclass
class Answer:
    """What a caller got; *status* is 0 where the connection broke."""

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def outcome(self):
        """The outcome that the caller was told, or "" for none."""
        return self.headers.get("X-Merlinnotch-Outcome", "")

    @property
    def kind(self):
        """The error kind that the caller was told, or ""."""
        return self.headers.get("X-Merlinnotch-Error-Kind", "")

    @property
    def version(self):
        """The version that answered."""
        return self.headers.get("X-Merlinnotch-Version", "")


class World:
    """A stack and ways to disturb it."""

    def __init__(self):
        self.stack = Stack(LAYOUT)
        self.stack.start()
        self.keys = self.stack.read_team_keys()
        self.answers = []
        self.pending = []
        self.session = None
        self.notes = {}
        self._http = urllib3.PoolManager(maxsize=32, retries=False)

    def close(self):
        """Stop everything."""
        self.stack.stop()

    def entry(self, number):
        """Return the entry of that number."""
        return self.stack.entries[number]

    def chat(self, entry, model="donor-summary", text="hello", team=TEAM, **options):
        """Ask a model through an entry and return the :class:`Answer`."""
        headers = {"Content-Type": "application/json", **options.get("headers", {})}
        messages = [{"role": "user", "content": text}]
        body = {"model": model, "messages": messages, **options.get("body", {})}
        path = "/v1/chat/completions"
        return self._send("POST", entry, path, json.dumps(body), headers, team)

    def book(self, entry, key, method="POST", body="", **headers):
        """Call the plain service through an entry."""
        if key:
            headers["Idempotency-Key"] = key
        path = "/services/marketplace/claims"
        return self._send(method, entry, path, body, headers, TEAM)

    def later(self, call, *arguments, **options):
        """Make a call in the background; :meth:`gather` returns its answer."""
        slot = []
        thread = threading.Thread(
            target=lambda: slot.append(call(*arguments, **options)), daemon=True
        )
        thread.start()
        self.pending.append((thread, slot))

    def gather(self):
        """Return the answers of all calls in the background."""
        answers = []
        for thread, slot in self.pending:
            thread.join(60)
            answers.append(slot[0])
        self.pending = []
        return answers

    def service_runs(self, request_id):
        """Return how often the plain services ran a request."""
        states = [http.get(a, "/standin/state") for a in self.stack.services.values()]
        return sum(state["runs"].get(request_id, 0) for state in states)

    def engine_runs(self, version=None):
        """Return all runs of the engines, of one version if given."""
        runs = []
        for address in self.stack.engines.values():
            runs += http.get(address, "/standin/state")["runs"]
        return [run for run in runs if version in (None, run["version"])]

    def replace_entries(self):
        """Replace every entry in turn; each has to leave well."""
        for entry in self.stack.entries:
            assert entry.process.terminate(30) == 0
            self.stack.start_entry(entry)
            self.stack.wait_until_ready(entry)

    def engine_tokens(self, name):
        """Return how many tokens one engine has given out."""
        runs = http.get(self.stack.engines[name], "/standin/state")["runs"]
        return sum(run["tokens"] for run in runs)

    def set_engine(self, name, **switches):
        """Change how one engine behaves."""
        self.stack.set_switches(self.stack.engines[name], **switches)

    def live_members(self, entry):
        """Return how many live instances an entry knows."""
        return int(self.metric(entry, "merlinnotch_live_members "))

    def knows_leaving(self, entry, upstream):
        """Whether an entry keeps new work away from an upstream."""
        name = f'merlinnotch_upstream_leaving{{upstream="{upstream}"}}'
        return self.metric(entry, name) == 1

    def send_raw(self, body, key=None, path="/v1/chat/completions", **headers):
        """Send raw bytes to entry 0 and return the answer."""
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return self._send("POST", 0, path, body, headers, TEAM)

    def set_services(self, **switches):
        """Change how all plain services behave."""
        for address in self.stack.services.values():
            self.stack.set_switches(address, **switches)

    def set_engines(self, **switches):
        """Change how all engines behave."""
        for address in self.stack.engines.values():
            self.stack.set_switches(address, **switches)

    def set_store(self, **switches):
        """Change how the key-value service behaves."""
        self.stack.set_switches(self.stack.kv, **switches)

    def metric(self, entry, name):
        """Return the sum of a metric's samples on an entry, by its number."""
        return self.metric_of(self.entry(entry), name)

    def metric_of(self, entry, name):
        """Return the sum of a metric's samples on an entry."""
        url = f"http://{entry.metrics}/metrics"
        text = self._http.request("GET", url, timeout=5.0).data.decode()
        rows = [line.split() for line in text.splitlines() if line.startswith(name)]
        return sum(float(row[-1]) for row in rows)

    def revision(self, entry):
        """Return the revision in force on an entry."""
        return int(self.metric(entry, "merlinnotch_revision "))

    def read_bills(self):
        """Return how many requests are billed in all."""
        _, output = self.stack.run_command("bills", "--json")
        return sum(row["requests"] for row in json.loads(output))

    def wait_for_bills(self, count):
        """Wait until *count* requests are billed."""
        wait_for(lambda: self.read_bills() >= count, f"{count} bills")

    def edit(self, *changes):
        """Return a copy of the example with (file, old, new) texts replaced."""
        folder = pathlib.Path(self.stack.folder) / f"edit-{len(self.notes)}"
        self.notes[str(folder)] = folder
        shutil.copytree(ROOT / LAYOUT.example, folder)
        for name, old, new in changes:
            text = (folder / name).read_text()
            assert old in text, old
            (folder / name).write_text(text.replace(old, new))
        return folder

    def _send(self, method, entry, path, body, headers, team):
        headers = {"Authorization": f"Bearer {self.keys[team]}", **headers}
        url = f"{self.entry(entry).url}{path}"
        try:
            reply = self._http.request(
                method, url, body=body, headers=headers, timeout=40.0
            )
        except urllib3.exceptions.HTTPError:
            return Answer(0)
        return Answer(reply.status, dict(reply.headers), reply.data)
