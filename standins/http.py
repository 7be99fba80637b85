"""Small HTTP calls to the stand-ins, for tests and tools."""

import json

import urllib3

PATIENCE_S = 30.0
"""A stand-in that answers is no matter of time: at a load of 57 on 8 cores some
took over 5 s to be given a turn."""

_http = urllib3.PoolManager(maxsize=8, retries=False)


def put(address, path, value):
    """PUT *value* as JSON and return the reply's JSON."""
    url = f"http://{address}{path}"
    reply = _http.request("PUT", url, body=json.dumps(value), timeout=PATIENCE_S)
    return json.loads(reply.data)


def get(address, path):
    """GET and return the reply's JSON."""
    reply = _http.request("GET", f"http://{address}{path}", timeout=PATIENCE_S)
    return json.loads(reply.data)
