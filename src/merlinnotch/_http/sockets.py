"""Socket options, and socket operations that raise the errors of this package."""

import contextlib
import errno
import socket
import struct

import eventlet
from eventlet.green import socket as green_socket
from eventlet.hubs import trampoline

from .._errors import (
    ConnectFailed,
    ConnectionBroken,
    ConnectionTimedOut,
    ConnectRefused,
    PathLost,
)
from .._limits import MAX_STEP_S

UNACKNOWLEDGED_TIMEOUT_MS = 1200
"""How long sent bytes may stay unacknowledged before the kernel closes the connection.
Leaves time for two retransmissions; a path that loses them too is probably down."""
OUTGOING_UNACKNOWLEDGED_TIMEOUT_MS = 4000
"""The same for connections that this process opens. A sound server may be silent for
some seconds, and requests that must not run twice would be lost with the connection."""

MAX_UNSENT_BYTES = 16 << 10
"""Bytes that the kernel holds beyond those it has sent. More would wait there for a
receiver that doesn't read."""
RECEIVE_BUFFER_BYTES = 64 << 10
"""Buffer for what has arrived and isn't read. Links with a round trip of 0.1 s carry
some 5 Mbit/s with it."""
OUTGOING_RECEIVE_BUFFER_BYTES = 32 << 10
"""The same for connections that this process opens, which have shorter links."""
STREAM_RECEIVE_BUFFER_BYTES = 8 << 10
"""The same for streams, which wait in it while their callers don't read. Tokens need
less than bodies that are read as they arrive."""
RECEIVE_SIZE_BYTES = 65536
MAX_EVENTS_PER_TURN = 64
LATE_READ_S = 0.05
"""A busy process may reach a read only after its time limit. Bytes that have arrived
are not lost for that, but a sender that never pauses must not prolong the limit."""
BACKLOG = 1024
_select = eventlet.patcher.original("select")
_NO_LINGER = struct.pack("ii", 1, 0)
"""The option's structure: linger is on, for 0 seconds."""


class _WaitTimeout(Exception):
    """A socket did not become readable or writable in time."""


def set_socket_options(
    sock,
    unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
    receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
):
    """Disable Nagle's algorithm, and limit unacknowledged and buffered bytes."""
    limit_kernel_buffers(sock, receive_buffer_bytes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms
    )


def limit_kernel_buffers(sock, receive_buffer_bytes=RECEIVE_BUFFER_BYTES):
    """Limit what the kernel holds for *sock* while its reader, or this one, waits.

    By default these are megabytes for each connection, outside of the memory budget.
    Bytes that are on their way aren't limited, so that long links stay fast.
    """
    set_receive_buffer(sock, receive_buffer_bytes)
    _set_if_available(
        sock, socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
    )


def open_connection(address, timeout_s, source_host=None):
    """Return a socket connected to *address*, a host:port pair.

    *source_host* is the local address of the connection, any if it is None.
    Raises :class:`ConnectRefused` if nothing listens there, :class:`ConnectFailed` for
    any other failure.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = _connect(host, int(port), timeout_s, source_host)
    except ConnectionRefusedError as error:
        raise ConnectRefused(f"{address}: {error}") from error
    except (OSError, ValueError) as error:
        raise ConnectFailed(f"{address}: {error}") from error
    set_socket_options(
        sock, OUTGOING_UNACKNOWLEDGED_TIMEOUT_MS, STREAM_RECEIVE_BUFFER_BYTES
    )
    return sock


def _connect(host, port, timeout_s, source_host):
    """Return a socket connected to *port* at the IP address *host*."""
    sock = green_socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        # The other side begins with the window of this size.
        set_receive_buffer(sock, STREAM_RECEIVE_BUFFER_BYTES)
        sock.settimeout(timeout_s)
        if source_host:
            sock.bind((source_host, 0))
        sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def set_receive_buffer(sock, size):
    """Limit how many bytes the other side may send before they are read."""
    _set_if_available(sock, socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _set_if_available(sock, level, option, value):
    # A platform without the option has buffers of its own.
    with contextlib.suppress(OSError):
        sock.setsockopt(level, option, value)


def listen(address):
    """Return a listening socket on *address*, a host:port pair."""
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)


class Receiver:
    """Reads from *sock*, whose sender may never pause.

    Each read that didn't have to wait is followed by a turn of the other tasks.
    *read_bytes* limits what one read returns.
    """

    def __init__(self, sock):
        self._sock = sock
        self.read_bytes = RECEIVE_SIZE_BYTES
        self._was_ready = False

    def receive(self, timeout_s):
        """Return the next bytes, or b"" at the end of the stream.

        Raises :class:`ConnectionBroken`, in particular :class:`PathLost`, and
        :class:`ConnectionTimedOut` after *timeout_s*.
        Bytes that have arrived are also returned shortly after that time. The method of
        the green socket also returns b"" for a reset connection, which would make a
        truncated response without a length look complete.
        """
        if self._was_ready:
            # Before the read, as bytes in hand would be lost if the task ended here.
            eventlet.sleep(0)
        self._was_ready = True
        if timeout_s <= -LATE_READ_S:
            raise ConnectionTimedOut("read timed out")
        while (data := _receive_ready(self._sock, self.read_bytes)) is None:
            self._was_ready = False
            if timeout_s <= 0:
                raise ConnectionTimedOut("read timed out")
            if not _wait_until_ready(self._sock, timeout_s, read=True):
                # The process may have stood still while bytes arrived.
                timeout_s = 0.0
        return data


class EventTurns:
    """Lets other tasks run between the events of a block of bytes.

    A block may hold thousands of events.
    """

    def __init__(self):
        self._event_count = 0

    def restart(self):
        """Count from the next event, as other tasks may have run."""
        self._event_count = 0

    def count_event(self):
        """Count an event; return whether other tasks have run before it."""
        self._event_count += 1
        if self._event_count <= MAX_EVENTS_PER_TURN:
            return False
        self._event_count = 1
        eventlet.sleep(0)
        return True


def _receive_ready(sock, read_bytes):
    """Return the bytes that have arrived, b"" at the end, or None if there are none."""
    try:
        return sock.fd.recv(read_bytes)
    except BlockingIOError:
        return None
    except OSError as error:
        kind = PathLost if error.errno == errno.ETIMEDOUT else ConnectionBroken
        raise kind(f"read failed: {error}") from error


def _wait_until_ready(sock, timeout_s, **event):
    """Return whether *event*, read or write, became possible within *timeout_s*."""
    try:
        trampoline(sock.fileno(), timeout=timeout_s, timeout_exc=_WaitTimeout, **event)
    except _WaitTimeout:
        return False
    except (OSError, ValueError) as error:
        # Another green thread has closed the socket.
        raise ConnectionBroken(f"wait failed: {error}") from error
    return True


def send(sock, data, timeout_s):
    """Send all of *data*; raises :class:`ConnectionBroken`, also after *timeout_s*."""
    sock.settimeout(max(timeout_s, 0.001))
    try:
        # Slices of a view aren't copies of what is left after each partial write.
        sock.sendall(memoryview(data))
    except (OSError, EOFError) as error:
        raise ConnectionBroken(f"write failed: {error}") from error


def send_paced(sock, data, pace, read_clock, hold=contextlib.nullcontext):
    """Send all of *data* to a caller whose :class:`TransferPace` is *pace*.

    *hold* returns a context manager for the time in which the caller has to be waited
    for. Raises :class:`ConnectionBroken`, also if the caller is too slow.
    """
    left = _send_part(sock, memoryview(data), pace)
    if left:
        with hold():
            _send_rest(sock, left, pace, read_clock)


def _send_rest(sock, data, pace, read_clock):
    while data:
        left = _send_part(sock, data, pace)
        if len(left) < len(data):
            data = left
            continue
        if pace.is_too_slow:
            raise ConnectionBroken("caller reads too slowly")
        waiting_since = read_clock()
        _wait_until_ready(sock, MAX_STEP_S, write=True)
        pace.record_wait(read_clock() - waiting_since)


def _send_part(sock, data, pace):
    """Send what can be sent without a wait; return what is left of *data*."""
    sent = _send_ready(sock, data)
    if sent:
        pace.record_bytes(sent)
    return data[sent:]


def _send_ready(sock, data):
    """Return how many bytes of *data* were sent without a wait."""
    if not _is_writable(sock):
        return 0
    try:
        return sock.fd.send(data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise ConnectionBroken(f"write failed: {error}") from error


def _is_writable(sock):
    """Return whether less than MAX_UNSENT_BYTES wait in the kernel.

    A write would add to its last segment, up to tens of KB, beyond that limit.
    """
    poll = _select.poll()
    try:
        poll.register(sock.fileno(), _select.POLLOUT)
    except ValueError as error:
        # Another green thread has closed the socket.
        raise ConnectionBroken(f"write failed: {error}") from error
    return bool(poll.poll(0))


def close_quietly(sock):
    """Close *sock*, ignoring errors."""
    with contextlib.suppress(OSError):
        sock.close()


def reset_on_close(sock):
    """Make a later close send a reset; bytes that are not sent yet are dropped."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def shut_down(sock):
    """Shut *sock* down in both directions; a pending read sees the end of stream."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def is_open_without_input(sock):
    """Return whether an idle connection is open and has no unread input.

    Input between two exchanges belongs to no request.
    """
    # The underlying socket is non-blocking, so this never waits.
    try:
        sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
