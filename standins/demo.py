"""The whole path on stand-ins: ``python -m standins.demo``."""

import sys
import time

import urllib3
from openai import OpenAI

from standins.stack import Stack, wait_for

TEAM = "claims-desk"
SESSION = "x-merlinnotch-session"
VERSION = "x-merlinnotch-version"
OUTCOME = "x-merlinnotch-outcome"
EXPECTED_BILLS = 8


class Demo:
    """Sends requests through several entries and prints what each got."""

    def __init__(self, stack):
        self._stack = stack
        self._keys = stack.read_team_keys()
        self._http = urllib3.PoolManager(retries=False)

    def run(self):
        """Run every step; raises AssertionError where one went wrong."""
        self._send_whole()
        self._send_streamed()
        self._send_session()
        self._send_cascade()
        self._send_non_idempotent()
        self._send_duplicate()
        self._send_refused()
        self._print_bills()

    def _send_whole(self):
        reply = self._chat(0, "claim-matching", "match pears to a shelter")
        self._print("whole answer", reply)
        assert reply.headers[OUTCOME] == "answered"

    def _send_streamed(self):
        client = self._open_client(1)
        chunks = client.chat.completions.create(
            model="listing-assistance",
            messages=[{"role": "user", "content": "list ten crates of apples"}],
            stream=True,
        )
        parts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        print(f"streamed answer      {len(parts)} parts through entry 1")
        assert len(parts) > 2

    def _send_session(self):
        first = self._chat(2, "donor-summary", "first", session=None)
        token = first.headers[SESSION]
        later = self._chat(5, "donor-summary", "second", session=token)
        self._print("session, entry 2", first)
        self._print("session, entry 5", later)
        assert first.headers[VERSION] == later.headers[VERSION]

    def _send_cascade(self):
        for number in range(3):
            reply = self._chat(number, "listing-assistance", f"cascade {number}")
            self._print("cheap first", reply)

    def _send_non_idempotent(self):
        headers = {"Idempotency-Key": "claim-17"}
        reply = self._call_service(3, "POST", headers)
        print(f"non-idempotent call  {reply.status} {reply.headers[OUTCOME]}")
        assert reply.json()["run"] == 1

    def _send_duplicate(self):
        headers = {"Idempotency-Key": "claim-17"}
        reply = self._call_service(6, "POST", headers)
        print(f"duplicate, entry 6   {reply.status} {reply.headers[OUTCOME]}")
        assert reply.json()["run"] == 1

    def _send_refused(self):
        reply = self._call_service(4, "GET", {}, team="volunteers")
        kind = reply.headers["X-Merlinnotch-Error-Kind"]
        print(f"refusal              {reply.status} {kind} {reply.headers[OUTCOME]}")
        assert reply.status == 403

    def _print_bills(self):
        wait_for(lambda: self._count_bills() >= EXPECTED_BILLS, "all bills posted")
        _, output = self._stack.run_command("bills")
        print("\nbills")
        print(output)
        assert self._count_bills() == EXPECTED_BILLS

    def _count_bills(self):
        _, output = self._stack.run_command("bills")
        return sum(
            int(line.split()[2]) for line in output.splitlines() if "requests" in line
        )

    def _chat(self, entry, model, text, session=None):
        client = self._open_client(entry)
        headers = {"X-Merlinnotch-Session": session} if session else {}
        return client.chat.completions.with_raw_response.create(
            model=model,
            messages=[{"role": "user", "content": text}],
            extra_headers=headers,
        )

    def _open_client(self, entry):
        url = f"{self._stack.entries[entry].url}/v1"
        return OpenAI(api_key=self._keys[TEAM], base_url=url, max_retries=0)

    def _call_service(self, entry, method, headers, team=TEAM):
        url = f"{self._stack.entries[entry].url}/services/marketplace/claims"
        headers = {"Authorization": f"Bearer {self._keys[team]}", **headers}
        return self._http.request(method, url, headers=headers, timeout=10.0)

    def _print(self, what, reply):
        version, outcome = reply.headers[VERSION], reply.headers[OUTCOME]
        print(f"{what:20} {outcome} by {version}")


def main():
    """Run the demo; the exit code tells whether all went well."""
    started = time.monotonic()
    stack = Stack()
    try:
        stack.start()
        print(f"8 entries in 4 zones up after {time.monotonic() - started:.1f} s\n")
        Demo(stack).run()
    finally:
        left_well = stack.stop()
    print(f"stopped, {time.monotonic() - started:.1f} s in all")
    return 0 if left_well else 1


if __name__ == "__main__":
    sys.exit(main())
