"""An upstream whose responses never end.

Run as a process of its own, so that it sends while the instance works:
``python -m tests.gateway.endless_upstream KIND``. It prints its address.
"""

import re
import socket
import sys
import threading

from standins.endless import KINDS


def serve(sock, response):
    """Answer one request with an :class:`EndlessResponse`."""
    request = b""
    while b"\r\n\r\n" not in request:
        request += sock.recv(65536)
    attempt_id = re.search(rb"x-attempt-id: (\S+)", request, re.IGNORECASE)[1]
    try:
        for block in response.generate(attempt_id):
            sock.sendall(block)
    except OSError:
        sock.close()


def main():
    """Serve until the process is ended."""
    response = KINDS[sys.argv[1]]
    listener = socket.create_server(("127.0.0.1", 0), backlog=100)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, response), daemon=True).start()


if __name__ == "__main__":
    main()
