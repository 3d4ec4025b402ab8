"""A client that sends many messages at once on one connection: pipeline.py PORT MEGABYTES SECONDS READ

It writes MEGABYTES of whole messages for a destination that is not in the list. With READ 1 it reads the answers while it
writes, with READ 0 only once all is written. It goes when all is answered, after SECONDS, or when the courier ends the
connection.
"""
import select
import socket
import sys
import time


def message(number):
    return (b"POST /safe HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: aaaa%012x\r\nX-Priority-Class: safe\r\n"
            b"X-Timeout-Ms: 4000\r\nContent-Length: 5\r\nX-Consignee: dest=99\r\n\r\nhello" % number)


def main(port, megabytes, seconds, read):
    count = megabytes * 1000000 // len(message(0))
    data = memoryview(b"".join(message(number) for number in range(count)))
    peer = socket.create_connection(("127.0.0.1", port))
    peer.setblocking(False)
    sent = answers = 0
    start = time.monotonic()
    how = "the client left"
    while time.monotonic() < start + seconds and answers < count:
        writing = sent < len(data)
        readable, writable, _ = select.select([peer] if read or not writing else [], [peer] if writing else [], [], 0.1)
        try:
            if writable:
                sent += peer.send(data[sent:sent + (1 << 20)])
            if readable:
                got = peer.recv(1 << 20)
                answers += got.count(b"HTTP/1.1 ")
                if not got:
                    how = "the courier closed the connection"
                    break
        except BlockingIOError:
            pass
        except OSError as failure:
            how = "the connection broke (%s)" % failure.strerror
            break
    print("one client wrote %d of %d bytes and read %d answers in %.1f s; %s"
          % (sent, len(data), answers, time.monotonic() - start, how))


main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4] == "1")
