"""A crowd of idle connections: a client's request that is written in two parts gets its answer all the same."""

import os
import random
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import bench2
from bench2 import TROUBLE, CannotRun

SOCKETS = 640
CLIENTS = 100
# Of the crowd, in a second.
CONNECTIONS = 600
SECONDS = 75
PAUSE_S = (0.22, 0.4)
ESTABLISHED = 1


def is_open(sock):
    """Whether the connection is open by what the client's kernel knows now: no end, no reset and no answer."""
    sock.setblocking(False)
    try:
        sock.recv(1, socket.MSG_PEEK)
        return False
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.setblocking(True)


def state_of(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def body(case):
    endpoint = bench2.Endpoint(case.record, "s-00000001", 7)
    agent = bench2.Agent(case.record, [endpoint.entry()])
    courier = bench2.Courier(case, agent, bench2.settings(), sockets=SOCKETS)
    courier.start()
    if TROUBLE:
        command = [sys.executable, "-B", os.path.join(os.path.dirname(bench2.__file__), "crowd.py"),
                   str(courier.port), str(CONNECTIONS), str(SECONDS)]
        case.processes.append(subprocess.Popen(command))
    time.sleep(1)
    end = time.monotonic() + (SECONDS if TROUBLE else 20)
    counts = {"answered": 0, "ended before the last byte": 0, "lost": 0}
    lock = threading.Lock()

    def count(what):
        with lock:
            counts[what] += 1

    def client(number):
        drawn = random.Random(number)

        def new_id():
            return "%06x%010x" % (number, drawn.getrandbits(40))

        while time.monotonic() < end and not case.broken:
            time.sleep(drawn.uniform(0, 0.1))
            try:
                connection = bench2.Client(courier)
            except OSError:
                continue
            try:
                # A whole request first, so that the one in two parts is not the first one of its connection.
                connection.send(bench2.request(new_id()))
                if connection.answer(1.0) not in (202, 429, 503) or connection.ends:
                    continue
                message_id = new_id()
                data = bench2.request(message_id)
                connection.send(data[:-3])
                time.sleep(drawn.uniform(*PAUSE_S))
                if not is_open(connection.sock):
                    count("ended before the last byte")
                    continue
                connection.send(data[-3:])
                # On a loopback address the bytes are with the courier's socket once send returns.
                state = state_of(connection.sock)
                at = time.monotonic()
                answer = connection.answer(2.0)
                if answer:
                    count("answered")
                elif answer is None and state == ESTABLISHED:
                    count("lost")
                    case.breaks("%s: its last byte was written on an open connection, which then ended with no answer "
                                "after %.1f ms" % (message_id, 1000 * (time.monotonic() - at)))
            except OSError:
                pass
            finally:
                connection.close()

    threads = [threading.Thread(target=client, args=(number,), daemon=True) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.record("requests in two parts: %s" % counts)
    if not counts["answered"] and not counts["lost"]:
        raise CannotRun("no client could write a request in two parts")


bench2.play(os.path.dirname(os.path.abspath(__file__)), body)
