"""Many sound endpoints in one process: each listens on a loopback port of its own and answers every call with 200.

Usage: many.py COUNT. Prints the ports on one line, then one line with the id of each message that it has run.
"""

import selectors
import socket
import sys


def main():
    selector = selectors.DefaultSelector()
    ports = []
    for _ in range(int(sys.argv[1])):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        listener.setblocking(False)
        ports.append(listener.getsockname()[1])
        selector.register(listener, selectors.EVENT_READ, None)
    print(" ".join(map(str, ports)), flush=True)
    while True:
        for key, _ in selector.select():
            if key.data is None:
                conn, _ = key.fileobj.accept()
                selector.register(conn, selectors.EVENT_READ, bytearray())
            elif not serve(key.fileobj, key.data):
                selector.unregister(key.fileobj)
                key.fileobj.close()


def serve(conn, data):
    try:
        received = conn.recv(65536)
        data += received
        while b"\r\n\r\n" in data:
            head, _, rest = bytes(data).partition(b"\r\n\r\n")
            headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(headers[b"content-length"])
            if len(rest) < length:
                break
            del data[:len(head) + 4 + length]
            print(headers[b"x-request-id"].decode(), flush=True)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return bool(received)
    except OSError:
        return False


main()
