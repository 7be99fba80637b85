"""Listening sockets."""

import socket

import eventlet

BACKLOG = 1024


def open_listener(address):
    """Return a listening socket on *address*, a host:port pair."""
    host, _, port = address.partition(":")
    listener = eventlet.listen((host, int(port)), backlog=BACKLOG)
    # Inherited by accepted sockets. Without it, the end of a streamed response waits
    # for the acknowledgement of the bytes before it.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener
