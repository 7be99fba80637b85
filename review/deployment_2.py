"""A small deployment for the cases of this review: store, servers and entry processes.

The entry processes are started with the command of the deploy file. The store and the
servers are the project's own stand-ins, which run in the process of the case.
"""

import json
import os
import pathlib
import resource
import signal
import subprocess
import tempfile
import time

import eventlet
from eventlet.green import socket

from standins.platform_store import StandInStore
from standins.platform_upstream import StandInUpstream, make_answer
from standins.ports import PortPicker

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ["python3", "-m", "merlinnotch._entry.main"]
HOST = "a.example"
KEY = "n2ctnfzs989anu6wsjnb"
TEAM = "team-a"
ZONE = "zone-a"
STARTUP_S = 20.0
COULD_NOT_RUN = 2
DESCRIPTORS = 4100
"""Of a process on an edge machine."""
KEPT_PAUSE_S = 0.05
KEPT_WAIT_S = 5.0
"""Longer than the timeout of the route, which ends a request that isn't answered."""
RESTART_S = 1.0
"""Delay after which the platform starts a process that has ended."""
SETTINGS = """\
[instance]
name = "{name}"
zone = "{zone}"
caller_address = "{caller}"
ready_address = "{ready}"
peer_address = "{peer}"
metrics_address = "{metrics}"

[store]
address = "{store}"
configuration_ms = 2000
draining_ms = 2000

[retries]
ratio = 0.9
slack = 56
window_s = 10

[rollouts]
exposure_share = 0.15
slack = 30

[link]
mbps = 1000.0

[memory]
mb = {memory_mb}

[descriptors]
max = 4100

[shutdown]
grace_s = 8

[load]
contracts = {contracts}
"""
"""The layout of the deploy file's template, with the figures of the small site."""
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "rollout",
]
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
"""As in the messages that the bench shows for the small site."""


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._started_at = time.monotonic()

    def write(self, text):
        """Add a line with the seconds since the start."""
        seconds = time.monotonic() - self._started_at
        with self._path.open("a") as file:
            file.write(f"{seconds:8.3f} {text}\n")


class Entry:
    """One entry process on a loopback address of its own."""

    def __init__(self, name, host, store_address, folder, memory_mb, zone=ZONE):
        self.name = name
        self.process = None
        ports = PortPicker()
        self.caller_address, self.ready_address, peer, metrics = (
            ports.pick(host) for _ in range(4)
        )
        self._folder = pathlib.Path(folder)
        self.settings_path = self._folder / f"{name}.toml"
        self.settings_path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                caller=self.caller_address,
                ready=self.ready_address,
                peer=peer,
                metrics=metrics,
                store=store_address,
                memory_mb=memory_mb,
                contracts=json.dumps(CONTRACTS),
            )
        )

    @property
    def log_path(self):
        """The file with the output of the process."""
        return self._folder / f"{self.name}.log"

    def read_last_line(self):
        """Return the end of the last line that the process wrote."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return lines[-1][-200:] if lines else ""

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["MERLINNOTCH_CONFIG"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_ready(self):
        """Return whether the readiness endpoint answers 200."""
        return ask_ready(self.ready_address) == 200

    def wait_until_ready(self):
        """Wait for readiness; raises TimeoutError."""
        until = time.monotonic() + STARTUP_S
        while not self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} did not become ready")
            eventlet.sleep(0.1)

    def measure_private_mb(self):
        """Return the private memory of the process in MB, 0 if it has ended."""
        return read_private_mb(self.process.pid)

    def send(self, number):
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def choose_host(number):
    """Return a loopback address for an entry that scripts run beside don't use.

    They could take its ports while the entry is started again.
    """
    pid = os.getpid()
    return f"127.{100 + pid // 250 % 100}.{1 + pid % 250}.{number}"


def read_private_mb(pid):
    """Return RssAnon of a process in MB, 0 if it has ended.

    Pages of files, which processes share, are left out.
    """
    try:
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0.0


def ask_ready(address, timeout_s=1.0):
    """Return the status of GET /ready, 0 without an answer."""
    request = f"GET /ready HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n"
    data = exchange(address, request.encode(), timeout_s)
    return parse_status(data)


def exchange(address, data, timeout_s):
    """Send *data* on a new connection; return what arrives until its end."""
    host, _, port = address.rpartition(":")
    answer = b""
    try:
        with eventlet.Timeout(timeout_s):
            sock = socket.create_connection((host, int(port)))
            with sock:
                sock.sendall(data)
                while block := sock.recv(65536):
                    answer += block
    except (OSError, eventlet.Timeout):
        pass
    return answer


def parse_status(data):
    """Return the status of a response, 0 if there is none."""
    words = data.split(b"\r\n", 1)[0].split()
    if len(words) < 2 or not words[1].isdigit():
        return 0
    return int(words[1])


def make_request(target, attempt_id, method="GET", body=b"", close=True, **fields):
    """Return the bytes of a request with the key of the team."""
    headers = {
        "host": HOST,
        "x-attempt-id": attempt_id,
        "x-credential": KEY,
        "x-deadline-ms": "1500",
    }
    headers |= {name.replace("_", "-"): value for name, value in fields.items()}
    if body or method == "POST":
        headers["content-length"] = str(len(body))
    if close:
        headers["connection"] = "close"
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_configuration(version=1):
    """Return a configuration with one plain service and one engine, as on the sheet."""
    plain = {
        "host": HOST,
        "service": "exchange-app",
        "goal-ms": 150,
        "timeout-ms": 800,
        "priority": 2,
        "public": False,
    }
    return {
        "version": version,
        "routes": [
            plain
            | {"name": "status", "path-prefix": "/status/", "kind": "idempotent"}
            | {"attempts": 2},
            plain
            | {"name": "slot", "path-prefix": "/slot/", "kind": "non_idempotent"}
            | {"attempts": 1},
            {
                "name": "match",
                "host": HOST,
                "path-prefix": "/match/",
                "kind": "streaming",
                "service": "merlin-pool",
                "timeout-ms": 20000,
                "goal-ms": 1500,
                "gap-goal-ms": 1200,
                "priority": 0,
                "attempts": 3,
                "public": False,
                "sticky": True,
                "resumable": True,
                "sizes": ["m0", "m1", "m2"],
            },
        ],
        "services": [
            {"name": "exchange-app", "health-path": "/health", "max-conns": 110},
            {
                "name": "merlin-pool",
                "health-path": "/health",
                "max-conns": 370,
                "engine": {
                    "slots": 64,
                    "kv-tokens": 579869,
                    "stride": 6,
                    "models": [
                        {"name": "m0", "cost": 0.018},
                        {"name": "m1", "cost": 0.13},
                        {"name": "m2", "cost": 0.27},
                    ],
                },
            },
        ],
        "limits": LIMITS,
        "tenants": [{"name": TEAM, "api-keys": [KEY], "priority": 1}],
    }


class Service:
    """Work of one stand-in server: *slots* requests at once, *queue* waiting ones.

    A request for which there is no room is rejected, and has not run. *runs* lists the
    ids of the requests that began to run.
    """

    def __init__(self, slots, queue):
        self._slots = eventlet.semaphore.Semaphore(slots)
        self._queue = queue
        self._waiting = 0
        self.runs = []

    def script(self, request, write):
        """Answer one request; a script of :class:`StandInUpstream`."""
        attempt_id = request.fields.get("x-attempt-id", "")
        if self._slots.locked() and self._waiting >= self._queue:
            write(make_answer(request, b"", 503, [("x-not-executed", "1")]))
            return True
        self._waiting += 1
        self._slots.acquire()
        self._waiting -= 1
        try:
            self.runs.append(attempt_id)
            return self.run(request, write)
        finally:
            self._slots.release()

    def run(self, request, write):
        """Run a request."""
        raise NotImplementedError


class PlainService(Service):
    """Works for *work_s* seconds on each request.

    It sends nothing between *silent_since* and *silent_until*, on the monotonic clock,
    and goes on then.
    """

    def __init__(self, slots=6, queue=24, work_s=0.03):
        super().__init__(slots, queue)
        self._work_s = work_s
        self.silent_since = self.silent_until = 0.0

    def run(self, request, write):
        eventlet.sleep(self._work_s)
        while self.silent_since <= time.monotonic() < self.silent_until:
            eventlet.sleep(self.silent_until - time.monotonic())
        answer = make_answer(request, b"x" * 800)
        if request.method == "HEAD":
            answer = answer[: -len(b"x" * 800)]
        write(answer)
        return True


class EngineService(Service):
    """Streams one event for *stride* tokens, each *event_s* seconds after the last."""

    def __init__(self, slots=64, queue=134, stride=6, event_s=0.06):
        super().__init__(slots, queue)
        self._stride = stride
        self._event_s = event_s

    def run(self, request, write):
        tokens = int(request.fields.get("x-token-counts", "0,24").split(",")[1])
        last = max(1, tokens // self._stride)
        first = int(request.fields.get("last-event-id", "0")) + 1
        write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-server-seal: s\r\n"
            b"content-type: text/event-stream\r\nx-confidence: 95\r\n"
            b"x-weight-versions: 1\r\nx-attempt-id: %s\r\n\r\n"
            % request.fields.get("x-attempt-id", "").encode()
        )
        for number in range(first, last + 1):
            eventlet.sleep(self._event_s)
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 48)
            write(b"%x\r\n%s\r\n" % (len(event), event))
        write(b"0\r\n\r\n")
        return True


class MemoryWatch:
    """The platform's limit on memory: kills a process that exceeds it.

    The process is started again after a short delay. *ends* lists the seconds at which
    a process was killed, by the name of the entry.
    """

    def __init__(self, record, entries, limit_mb):
        self._record = record
        self._entries = entries
        self._limit_mb = limit_mb
        self.ends = {entry.name: [] for entry in entries}
        self.peaks = {entry.name: 0.0 for entry in entries}
        self._threads = [eventlet.spawn(self._watch, entry) for entry in entries]

    def close(self):
        """Stop watching."""
        for thread in self._threads:
            thread.kill()

    def _watch(self, entry):
        while True:
            eventlet.sleep(0.02)
            size_mb = entry.measure_private_mb()
            self.peaks[entry.name] = max(self.peaks[entry.name], size_mb)
            if entry.process.poll() is not None:
                self._record.write(
                    f"{entry.name} ended: {entry.process.returncode}, "
                    f"{entry.read_last_line()}"
                )
            elif size_mb <= self._limit_mb:
                continue
            else:
                entry.send(signal.SIGKILL)
                entry.process.wait()
                self._record.write(
                    f"{entry.name} has {size_mb:.1f} MB of {self._limit_mb}: killed"
                )
            self.ends[entry.name].append(time.monotonic())
            eventlet.sleep(RESTART_S)
            entry.start()


def raise_descriptor_limit(count):
    """Let this process and those that it starts have *count* descriptors.

    Raises OSError if they may not.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if resource.RLIM_INFINITY not in (soft, hard) and soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


class KeptClient:
    """An ordinary client that sends one request after the other on a kept connection.

    *lost* lists the requests that a server had begun to run, that weren't the first of
    their connection, and whose connection ended without a byte of an answer.
    """

    def __init__(self, record, deployment, entry, number):
        self._record = record
        self._deployment = deployment
        self._entry = entry
        self._name = f"k-{entry.name}-{number}"
        self._sock = None
        self._answered = 0
        self.statuses = {}
        self.lost = []

    def run(self, until):
        """Send requests until the time *until*."""
        number = 0
        while time.monotonic() < until:
            number += 1
            self._call(f"{self._name}-{number}.")
            eventlet.sleep(KEPT_PAUSE_S)

    def _call(self, attempt_id):
        answer = b""
        is_ended = True
        try:
            if self._sock is None:
                self._connect()
            self._sock.sendall(make_request("/status/q", attempt_id, close=False))
            answer = self._read()
        except TimeoutError:
            # The client leaves; the machine hasn't closed the connection.
            is_ended = False
        except OSError:
            pass
        status = parse_status(answer)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if not answer and is_ended:
            self._record_unanswered(attempt_id)
        self._answered += status != 0
        if status == 0 or b"connection: close" in answer.lower():
            self._close()

    def _connect(self):
        host, _, port = self._entry.caller_address.rpartition(":")
        self._answered = 0
        self._sock = socket.create_connection((host, int(port)), timeout=1.0)
        self._sock.settimeout(KEPT_WAIT_S)

    def _close(self):
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _read(self):
        """Return a whole answer, or what arrived before the connection ended."""
        answer = b""
        while True:
            block = self._sock.recv(65536)
            if not block:
                return answer
            answer += block
            head, end, body = answer.partition(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            lengths = [x for x in lines if x.startswith(b"content-length:")]
            if end and lengths and len(body) >= int(lengths[0].partition(b":")[2]):
                return answer

    def _record_unanswered(self, attempt_id):
        """Count a request that ended without a byte, if it was passed on."""
        run_count = self._deployment.count_runs(attempt_id)
        if not self._answered or not run_count:
            return
        self.lost.append(attempt_id)
        self._record.write(
            f"{attempt_id}: request {self._answered + 1} of its connection, run by "
            f"{run_count} servers, connection ended without an answer"
        )


class Deployment:
    """A store, servers and entry processes in a temporary folder.

    *children* are further processes that the case starts.
    """

    def __init__(self, record, memory_mb=300):
        raise_descriptor_limit(DESCRIPTORS)
        signal.signal(signal.SIGTERM, self._abort)
        self.children = []
        self.record = record
        self.memory_mb = memory_mb
        self._temporary = tempfile.TemporaryDirectory(prefix="merlinnotch-case-")
        self.folder = self._temporary.name
        self.store = StandInStore()
        self.servers = {}
        self.works = {}
        self.entries = []
        self.store.put("op/config", make_configuration())

    def add_servers(self, engines, plain):
        """Add so many servers of the engine service and of the plain service."""
        for number in range(engines):
            self.add_server(f"e-{number}", "merlin-pool", EngineService(), 64)
        for number in range(plain):
            self.add_server(f"a-{number}", "exchange-app", PlainService(), 6)

    def add_server(self, server_id, service, work, slots):
        """Start a stand-in server of *work*, a Service, and list it in the store."""
        server = StandInUpstream(work.script)
        self.servers[server_id] = server
        self.works[server_id] = work
        self.store.put(
            f"servers/{server_id}",
            {
                "service": service,
                "address": server.address,
                "zone": ZONE,
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": 0,
            },
        )
        return server

    def add_entry(self, number=1):
        """Start an entry process and wait until it is ready."""
        entry = Entry(
            f"edge-{number}",
            choose_host(number),
            self.store.address,
            self.folder,
            self.memory_mb,
        )
        self.entries.append(entry)
        entry.start()
        entry.wait_until_ready()
        return entry

    def count_runs(self, prefix):
        """Return how many runs of requests whose id begins with *prefix* began."""
        return sum(
            run.startswith(prefix) for work in self.works.values() for run in work.runs
        )

    def _abort(self, number, frame):
        """End all processes at once, as the case takes too long."""
        for process in [entry.process for entry in self.entries] + self.children:
            if process is not None and process.poll() is None:
                process.kill()
        self._temporary.cleanup()
        os._exit(COULD_NOT_RUN)

    def close(self):
        """End all processes and servers."""
        for process in self.children:
            if process.poll() is None:
                process.kill()
                process.wait()
        for entry in self.entries:
            entry.end()
        for server in self.servers.values():
            server.close()
        self.store.close()
        self._temporary.cleanup()
