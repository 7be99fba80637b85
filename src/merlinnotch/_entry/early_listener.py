"""Caller listener that is opened before the rest of the program is imported."""

import socket
import tomllib

BACKLOG = 1024


def open_early_listener(path):
    """Return a socket listening on the caller address in the file at *path*, or None.

    Connections made while the program is imported wait in the backlog instead of being
    refused. Invalid settings give None; they are reported when the whole file is
    loaded.
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
