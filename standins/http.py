"""HTTP helpers for calls to the stand-ins."""

import json

import urllib3

TIMEOUT_S = 30.0
"""Allows for slow scheduling of the stand-ins on an overloaded machine."""

_http = urllib3.PoolManager(maxsize=8, retries=False)


def put(address, path, value):
    """Send *value* as JSON and return the decoded JSON reply."""
    url = f"http://{address}{path}"
    reply = _http.request("PUT", url, body=json.dumps(value), timeout=TIMEOUT_S)
    return json.loads(reply.data)


def get(address, path):
    """Return the decoded JSON reply of a GET request."""
    reply = _http.request("GET", f"http://{address}{path}", timeout=TIMEOUT_S)
    return json.loads(reply.data)
