"""Small HTTP calls to the stand-ins, for tests and tools."""

import json

import urllib3

_http = urllib3.PoolManager(maxsize=8, retries=False)


def put(address, path, value):
    """PUT *value* as JSON and return the reply's JSON."""
    url = f"http://{address}{path}"
    reply = _http.request("PUT", url, body=json.dumps(value), timeout=5.0)
    return json.loads(reply.data)


def get(address, path):
    """GET and return the reply's JSON."""
    reply = _http.request("GET", f"http://{address}{path}", timeout=5.0)
    return json.loads(reply.data)
