"""Listening sockets."""

import socket

from merlinnotch._daemon.listener import open_listener


def test_small_writes_are_not_held_back():
    listener = open_listener("127.0.0.1:0")
    caller = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    for end in (caller, accepted, listener):
        end.close()
