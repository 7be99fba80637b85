"""The platform's list of upstreams, with rows of other writers."""

import json
import tracemalloc
import types

import pytest

from merlinnotch._upstreams.directory import Directory, PlatformUnavailable
from merlinnotch._upstreams.listing import MAX_NAME_LENGTH, decode_listing

NESTING = 100_000
LONG_BYTES = 1 << 20


def make_row(name, **changes):
    service = {
        "ID": name,
        "Address": "127.0.0.1",
        "Port": 80,
        "Service": "language",
        "Meta": {"zone": "zone-a", "state": "ready"},
    }
    return {"Service": service | changes}


def encode_with(text):
    """Return a row whose port is the JSON *text*."""
    return json.dumps(make_row("odd", Port="@")).replace('"@"', text)


ODD_ROWS = [
    "null",
    "7",
    "[]",
    "{}",
    '{"Service": null}',
    *(
        json.dumps(make_row("odd", **{field: value}))
        for field in ("ID", "Address", "Service", "Meta")
        for value in (None, 7, [], "x" * (MAX_NAME_LENGTH + 1), "")
    ),
    *(
        json.dumps(make_row("odd", Port=port))
        for port in (None, 0, -1, 70_000, "x", [])
    ),
    json.dumps(make_row("odd", Meta={"state": "leaving"})),
    encode_with("9" * 400),
    encode_with("9" * 5000),
    encode_with("1e400"),
    encode_with("[" * NESTING + "]" * NESTING),
    encode_with('{"a":' * NESTING + '"]},"' + "}" * NESTING),
    "[" * NESTING + "]" * NESTING,
]


@pytest.fixture
def listed():
    """Return the listings that were applied, as lists of ids."""
    return []


@pytest.fixture
def directory(server, listed, patient_clients):
    class Table(list):
        def replace_listing(self, rows):
            listed.append([row.id for row in rows])

    settings = types.SimpleNamespace(platform_address=server.address)
    peers = types.SimpleNamespace(handlers={})
    return Directory(settings, Table(["one"]), peers, None)


@pytest.mark.parametrize("row", ODD_ROWS, ids=lambda row: row[:60])
def test_odd_row_leaves_the_others_in_use(server, directory, listed, row):
    # The list was not followed any more while the row was there.
    good = json.dumps(make_row("good"))
    server.body = f"[{good}, {row}, {json.dumps(make_row('too, ]'))}]".encode()
    directory.run_once()
    assert listed == [["good", "too, ]"]]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"{}",
        b'{"a": [1]}',
        b"[" * NESTING,
        b"[" + b"9" * 5000,
        b"[" + b"9" * 5000 + b"] x",
        b"{" + b"9" * 5000 + b"}",
        b'["' + b"9" * 5000,
        b'["' + b'\\"' * 20_000,
        b'["a\\',
    ],
    ids=lambda body: repr(body[:20]),
)
def test_reply_that_is_no_list_is_not_used(server, directory, listed, body):
    server.body = body
    with pytest.raises(PlatformUnavailable):
        directory.run_once()
    assert listed == []


def test_invalid_rows_are_logged_once(server, directory, caplog):
    server.body = json.dumps([make_row("good"), None]).encode()
    for _ in range(3):
        directory.run_once()
    messages = [record.message for record in caplog.records]
    assert messages == ["invalid rows in the list of upstreams"]


def test_row_that_is_leaving_is_listed_so(server, directory):
    rows = []
    directory._table.replace_listing = rows.extend
    server.body = json.dumps([make_row("a", Meta={"zone": "z", "state": "leaving"})])
    server.body = server.body.encode()
    directory.run_once()
    assert [(row.id, row.address, row.leaving) for row in rows] == [
        ("a", "127.0.0.1:80", True)
    ]


@pytest.mark.parametrize("text", ["x" * LONG_BYTES, '\\"' * (LONG_BYTES // 2)])
def test_long_texts_beside_an_odd_row_take_memory_in_proportion(text):
    # Each of their characters took over a hundred bytes.
    row = json.dumps(make_row("odd", ID="@")).replace("@", text)
    data = f"[{row}, {encode_with('9' * 5000)}, {json.dumps(make_row('good'))}]"
    tracemalloc.start()
    listing = decode_listing(data.encode())
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert [row.id for row in listing.rows] == ["good"]
    assert peak_bytes < 16 * LONG_BYTES
