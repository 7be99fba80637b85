"""Listening sockets."""

import socket

import eventlet

BACKLOG = 1024


def open_listener(address):
    """Return a listening socket on *address*, a host:port pair."""
    host, _, port = address.partition(":")
    listener = eventlet.listen((host, int(port)), backlog=BACKLOG)
    # Accepted sockets inherit it; without, the end of a streamed answer waits
    # for the acknowledgement of what came before, some 40 ms.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener
