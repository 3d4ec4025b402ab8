"""Peers of a courier in a process of their own: peers.py PORT COUNT SECONDS HALF

COUNT peers connect. Together they then send one whole message each, with a body of 60,000 bytes, and, if HALF is 1,
the first half of the head of a second request. They stay connected and read what comes until SECONDS are over.
It prints a line with what the peers sent and how their connections ended.
"""
import os
import select
import socket
import sys
import time

BODY = b"x" * 60000
HALF_HEAD = b"POST /safe HTTP/1.1\r\nHost: backend.local\r\nX-Requ"


def message(number):
    return (b"POST /safe HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %04x%012x\r\nX-Priority-Class: safe\r\n"
            b"X-Timeout-Ms: 4000\r\nContent-Length: %d\r\nX-Consignee: dest=7\r\n\r\n"
            % (os.getpid() & 0xFFFF, number, len(BODY))) + BODY


def main(port, count, seconds, half):
    peers = {}
    for number in range(count):
        peer = socket.create_connection(("127.0.0.1", port))
        peer.setblocking(False)
        peers[peer] = memoryview(message(number) + (HALF_HEAD if half else b""))
    answers = {}
    ended = sent = 0
    end = time.monotonic() + seconds
    while peers and time.monotonic() < end:
        readable, writable, _ = select.select(list(peers), [peer for peer in peers if peers[peer]], [], 0.1)
        for peer in readable:
            try:
                data = peer.recv(65536)
            except OSError:
                data = b""
            for line in data.split(b"\r\n"):
                if line.startswith(b"HTTP/1.1 "):
                    status = line.split()[1].decode()
                    answers[status] = answers.get(status, 0) + 1
            if not data:
                ended += 1
                del peers[peer]
                peer.close()
        for peer in writable:
            if peer in peers:
                try:
                    count_sent = peer.send(peers[peer])
                    sent += count_sent
                    peers[peer] = peers[peer][count_sent:]
                except OSError:
                    ended += 1
                    del peers[peer]
                    peer.close()
    print("%d peers sent %d bytes; answers %s; %d connections ended by the courier" % (count, sent, answers, ended))


main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4] == "1")
