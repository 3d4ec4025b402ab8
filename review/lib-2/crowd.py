"""A crowd: new connections at a steady rate, which send nothing and stay until the courier ends them.

Usage: crowd.py PORT CONNECTIONS_PER_SECOND SECONDS
"""

import selectors
import socket
import sys
import time

MOST_OPEN = 900


def main():
    port, rate, seconds = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
    selector = selectors.DefaultSelector()
    start = time.monotonic()
    made = 0
    while time.monotonic() < start + seconds:
        while made < (time.monotonic() - start) * rate and len(selector.get_map()) < MOST_OPEN:
            made += 1
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex(("127.0.0.1", port))
            selector.register(conn, selectors.EVENT_READ)
        for key, _ in selector.select(0.002):
            try:
                ended = not key.fileobj.recv(4096)
            except OSError:
                ended = True
            if ended:
                selector.unregister(key.fileobj)
                key.fileobj.close()


main()
