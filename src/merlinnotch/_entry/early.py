"""Listening for callers before the rest of the program is loaded."""

import socket
import tomllib

BACKLOG = 1024


def listen_early(path):
    """Return a listening socket on the caller address, or None.

    Loading takes 0.25 s of the 0.3 s of a start; connections that come
    meanwhile wait instead of being refused. Settings that can't be used are
    reported by whoever reads them in full.
    """
    try:
        with open(path, "rb") as file:
            address = tomllib.load(file)["instance"]["caller_address"]
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except (OSError, AttributeError, KeyError, TypeError, ValueError):
        return None
    return sock
