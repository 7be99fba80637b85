"""End-to-end demo on stand-ins: ``python -m standins.demo``."""

import sys
import time

import urllib3
from openai import OpenAI

from standins.stack import Stack, wait_for

TEAM = "claims-desk"
SESSION_HEADER = "x-merlinnotch-session"
VERSION_HEADER = "x-merlinnotch-version"
OUTCOME_HEADER = "x-merlinnotch-outcome"
EXPECTED_BILLED_REQUESTS = 8


class Demo:
    """Sends requests through several entries and prints the results."""

    def __init__(self, stack):
        self._stack = stack
        self._keys = stack.read_team_keys()
        self._http = urllib3.PoolManager(retries=False)

    def run(self):
        """Run all steps; raise AssertionError at the first that fails."""
        self._send_non_streaming()
        self._send_streaming()
        self._send_session()
        self._send_cascade()
        self._send_non_idempotent()
        self._send_duplicate()
        self._send_unauthorized()
        self._print_bills()

    def _send_non_streaming(self):
        reply = self._chat(0, "claim-matching", "match pears to a shelter")
        self._print_reply("non-streaming answer", reply)
        assert reply.headers[OUTCOME_HEADER] == "answered"

    def _send_streaming(self):
        client = self._open_client(1)
        chunks = client.chat.completions.create(
            model="listing-assistance",
            messages=[{"role": "user", "content": "list ten crates of apples"}],
            stream=True,
        )
        parts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        print(f"streaming answer     {len(parts)} parts through entry 1")
        assert len(parts) > 2

    def _send_session(self):
        first = self._chat(2, "donor-summary", "first", session=None)
        token = first.headers[SESSION_HEADER]
        later = self._chat(5, "donor-summary", "second", session=token)
        self._print_reply("session, entry 2", first)
        self._print_reply("session, entry 5", later)
        assert first.headers[VERSION_HEADER] == later.headers[VERSION_HEADER]

    def _send_cascade(self):
        for number in range(3):
            reply = self._chat(number, "listing-assistance", f"cascade {number}")
            self._print_reply("cascade", reply)

    def _send_non_idempotent(self):
        headers = {"Idempotency-Key": "claim-17"}
        reply = self._call_service(3, "POST", headers)
        print(f"non-idempotent call  {reply.status} {reply.headers[OUTCOME_HEADER]}")
        assert reply.json()["run"] == 1

    def _send_duplicate(self):
        headers = {"Idempotency-Key": "claim-17"}
        reply = self._call_service(6, "POST", headers)
        print(f"duplicate, entry 6   {reply.status} {reply.headers[OUTCOME_HEADER]}")
        assert reply.json()["run"] == 1

    def _send_unauthorized(self):
        reply = self._call_service(4, "GET", {}, team="volunteers")
        kind = reply.headers["X-Merlinnotch-Error-Kind"]
        print(
            f"rejected call        {reply.status} {kind}"
            f" {reply.headers[OUTCOME_HEADER]}"
        )
        assert reply.status == 403

    def _print_bills(self):
        wait_for(
            lambda: self._count_billed_requests() >= EXPECTED_BILLED_REQUESTS,
            "all requests billed",
        )
        _, output = self._stack.run_command("bills")
        print("\nbills")
        print(output)
        assert self._count_billed_requests() == EXPECTED_BILLED_REQUESTS

    def _count_billed_requests(self):
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

    def _print_reply(self, label, reply):
        version, outcome = reply.headers[VERSION_HEADER], reply.headers[OUTCOME_HEADER]
        print(f"{label:20} {outcome} by {version}")


def main():
    """Run the demo; return 0 if all entries exited cleanly, else 1."""
    started = time.monotonic()
    stack = Stack()
    try:
        stack.start()
        print(f"8 entries in 4 zones ready after {time.monotonic() - started:.1f} s\n")
        Demo(stack).run()
    finally:
        exited_cleanly = stack.stop()
    print(f"stopped, {time.monotonic() - started:.1f} s in total")
    return 0 if exited_cleanly else 1


if __name__ == "__main__":
    sys.exit(main())
