"""The WSGI server for callers."""

import contextlib
import logging
import time

import eventlet
import eventlet.wsgi
from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline
from eventlet.semaphore import Semaphore

from .._callers.app import CONNECTION_KEY
from .._http import IdleState
from .._http.sockets import limit_kernel_buffers, shut_down
from .._limits import MAX_STEP_S, TransferPace, compute_max_connections
from .listener import open_listener

logger = logging.getLogger("merlinnotch")

MAX_CONNECTIONS = 4096
CALLER_IDLE_TIMEOUT_S = 75.0
TRANSFER_PAUSE_S = 30.0
"""How long a caller may send or accept no bytes of a message, or how much longer than
at the least rate it may take for it."""
ACCEPT_RETRY_DELAY_S = 0.05
SLOT_RETRY_DELAY_S = 0.01
"""Time in which a connection that was shut down usually ends."""


class CallerServer:
    """Serves the WSGI application *app* on *address*, a host:port pair.

    Accepts connections itself, as the accept loop of :func:`eventlet.wsgi.server` shuts
    down connections on which a request has arrived and runs the request nevertheless.
    """

    def __init__(self, address, app):
        self._listener = open_listener(address)
        self._server = eventlet.wsgi.Server(
            self._listener,
            self._listener.getsockname(),
            app,
            log_output=False,
            socket_timeout=CALLER_IDLE_TIMEOUT_S,
            # By default, the server would buffer tokens of streamed responses.
            minimum_chunk_size=1,
            debug=False,
        )
        # In the order in which they began to wait for a request.
        self._idle_states = {}
        self._socks = set()
        self._free_slots = Semaphore(min(MAX_CONNECTIONS, compute_max_connections()))
        self._accept_thread = eventlet.spawn(self._accept)

    def stop_accepting(self):
        """Refuse new connections; those that the kernel has accepted are served."""
        self._accept_thread.kill()
        self._accept_queued()
        self._listener.close()

    def close_idle(self):
        """Close the connections on which no request has begun to arrive."""
        for idle_state in self._idle_states:
            if idle_state.is_idle:
                idle_state.shut_down()

    @property
    def is_busy(self):
        """Whether requests are arriving or in progress."""
        return self.count_busy() > 0

    def count_busy(self):
        """Return on how many connections requests are arriving or in progress."""
        return sum(not idle_state.is_idle for idle_state in self._idle_states)

    def _accept(self):
        while True:
            # Before a connection is taken, as it would be lost if the task ended here.
            self._acquire_slot()
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                # Usually out of file descriptors, which other connections will release.
                logger.warning("accept failed", extra={"reason": str(error)})
                self._free_slots.release()
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._begin(sock, address)

    def _acquire_slot(self):
        """Wait until there is room for another connection.

        The one that has been idle for longest is closed to make room, else the one
        that was waited for longest within a request or response.
        """
        while not self._free_slots.acquire(blocking=False):
            oldest = next((s for s in self._idle_states if s.can_be_closed), None)
            if oldest is not None:
                oldest.shut_down()
            else:
                self._end_slowest()
            # Taken as soon as it is free, as further connections wait in the queue.
            if self._free_slots.acquire(timeout=SLOT_RETRY_DELAY_S):
                return

    def _end_slowest(self):
        """Disconnect the caller that was waited for longest, if one is slow."""
        slow = [sock for sock in self._socks if sock.is_slow]
        if slow:
            max(slow, key=lambda sock: sock.pace.waited_s).end_waiting()

    def _accept_queued(self):
        """Serve the connections that closing the listener would reset."""
        while True:
            try:
                sock, address = self._listener.fd.accept()
            except OSError:
                return
            self._begin(GreenSocket(sock), address)

    def _begin(self, sock, address):
        idle_state = IdleState(sock)
        self._idle_states[idle_state] = True
        eventlet.spawn_n(self._serve, sock, address, idle_state)

    def _record_waiting(self, idle_state):
        """Record that a connection begins to wait for its next request."""
        self._idle_states.pop(idle_state, None)
        self._idle_states[idle_state] = True

    def _serve(self, sock, address, idle_state):
        sock.settimeout(CALLER_IDLE_TIMEOUT_S)
        sock = CallerSocket(sock)
        self._socks.add(sock)
        try:
            limit_kernel_buffers(sock)
            _CallerProtocol(
                sock,
                address,
                self._server,
                idle_state,
                lambda: self._record_waiting(idle_state),
            )
        except TimeoutError:
            # The caller sends or reads nothing, so that it expects no response.
            logger.debug("connection timed out", extra={"caller": address[0]})
        except Exception:
            # An uncaught error would end the hub and with it the process.
            logger.exception("unhandled error on a connection")
        finally:
            self._idle_states.pop(idle_state, None)
            self._socks.discard(sock)
            sock.close()
            self._free_slots.release()


class CallerSocket(GreenSocket):
    """A connection of a caller whose transfers may not be too slow.

    *pace* is the :class:`TransferPace` of what the caller sends or reads. Waits for the
    next request are limited by the timeout of the socket instead.
    """

    def __init__(self, sock):
        super().__init__(sock.fd)
        # The finalizer of *sock* closes the descriptor.
        self._replaced_sock = sock
        self.settimeout(sock.gettimeout())
        self.pace = TransferPace(TRANSFER_PAUSE_S)
        self.awaits_request = True
        self._is_waiting = False
        self._was_ready = False
        self._is_ended = False

    @property
    def is_waiting(self):
        """Whether the caller is waited for within a request or response."""
        return self._is_waiting

    @property
    def is_slow(self):
        """Whether the caller may be disconnected, as others need the connection."""
        return self._is_waiting and self.pace.is_behind

    def end(self):
        """Disconnect the caller, as others need the memory."""
        shut_down(self)

    def end_waiting(self):
        """Disconnect the caller that is waited for.

        What has arrived meanwhile isn't read, so that its request doesn't run.
        """
        self._is_ended = True
        self._is_waiting = False
        shut_down(self)

    def recv_into(self, buffer, nbytes=0, flags=0):
        if self.awaits_request:
            return super().recv_into(buffer, nbytes, flags)
        if self._was_ready:
            # A block may hold thousands of small chunks.
            eventlet.sleep(0)
        return self._transfer(lambda: self.fd.recv_into(buffer, nbytes), read=True)

    def send(self, data, flags=0):
        return self._transfer(lambda: self.fd.send(data), write=True)

    def _transfer(self, move, **event):
        self._was_ready = True
        while True:
            try:
                size = move()
            except BlockingIOError:
                self._was_ready = False
                self._wait(event)
                continue
            self.pace.record_bytes(size)
            return size

    def _wait(self, event):
        if self.pace.is_too_slow:
            raise TimeoutError("caller is too slow")
        waiting_since = time.monotonic()
        self._is_waiting = True
        try:
            with contextlib.suppress(_StepEnded):
                trampoline(self.fd, timeout=MAX_STEP_S, timeout_exc=_StepEnded, **event)
        finally:
            self._is_waiting = False
        self.pace.record_wait(time.monotonic() - waiting_since)
        if self._is_ended:
            raise TimeoutError("caller yields to others")


class _StepEnded(Exception):
    """A step of a wait for the caller has ended."""


class _CallerProtocol(eventlet.wsgi.HttpProtocol):
    """Serves the requests of one connection and keeps its *idle_state*.

    *record_waiting* is called before each wait for a request.
    """

    def __init__(self, sock, address, server, idle_state, record_waiting):
        self._idle_state = idle_state
        self._record_waiting = record_waiting
        super().__init__([address, sock, eventlet.wsgi.STATE_IDLE], server)

    def _read_request_line(self):
        self._idle_state.awaits_input = True
        self._record_waiting()
        self.connection.awaits_request = True
        has_input = self._wait_for_input()
        self._idle_state.awaits_input = False
        self.connection.awaits_request = False
        self.connection.pace.reset()
        if not has_input or self._idle_state.is_shut_down:
            return b""
        return super()._read_request_line()

    def get_environ(self):
        return super().get_environ() | {CONNECTION_KEY: self.connection}

    def _wait_for_input(self):
        try:
            # Bytes that were read along with the previous request count as well.
            return bool(self.rfile.peek(1))
        except ConnectionError:
            return False
