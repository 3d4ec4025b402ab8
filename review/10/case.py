"""A process is replaced under load: the folder that lasts may not hold more than its limit."""

import socket
import subprocess
import threading
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import bench2
from bench2 import TROUBLE, CannotRun

ENDPOINTS = 3200
STAND_INS = 4
CLASSES = 8
DISK_MB = 3
MESSAGES = 2050


def used(folder):
    """Bytes in the folder, every file counted in whole 512 bytes."""
    total = 0
    parts = []
    for base, _, names in os.walk(folder):
        for name in names:
            try:
                size = os.path.getsize(os.path.join(base, name))
            except OSError:
                continue
            total += (size + 511) // 512 * 512
            parts.append("%s %d" % (name, size))
    return total, ", ".join(sorted(parts))


def body(case):
    here = os.path.dirname(os.path.abspath(__file__))
    ports = []
    for _ in range(STAND_INS):
        command = [sys.executable, "-B", os.path.join(here, "..", "lib-2", "many.py"), str(ENDPOINTS // STAND_INS)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        case.processes.append(process)
        ports += process.stdout.readline().split()
        threading.Thread(target=lambda out: [case.record("runs " + line.strip()) for line in out],
                         args=(process.stdout,), daemon=True).start()
    if len(ports) < ENDPOINTS:
        raise CannotRun("the endpoints could not listen")
    hosts = [{"host": "s-%08x" % (n * 2654435761 % (1 << 32)), "dial": "127.0.0.1:" + ports[n], "site": "a",
              "class": "std", "block": n // 2, "health": "Ready", "share": 100.0, "born_ms": 0}
             for n in range(ENDPOINTS)]
    agent = bench2.Agent(case.record, hosts)
    classes = [dict(bench2.SAFE, name="class-%d" % n) for n in range(CLASSES)]
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(("127.0.0.1", 0))
    listening.listen(256)
    courier = bench2.Courier(case, agent, bench2.settings(classes=classes), disk_mb=DISK_MB)
    courier.port = listening.getsockname()[1]
    courier.content["listen"] = "127.0.0.1:%d" % courier.port
    courier.write_config()
    old = courier.start(listening=listening)
    most = (0, "")
    client = bench2.Client(courier)
    taken = 0
    for number in range(MESSAGES):
        message_id = bench2.new_id()
        client.send(bench2.request(message_id, "class-%d" % (number % CLASSES), dest=number % (ENDPOINTS // 2),
                                   body=b"x" * 400))
        status = client.answer(2)
        case.record("client hands in %s: %s" % (message_id, status))
        taken += status == 202
        if number % 50 == 0:
            most = max(most, used(courier.state))
        if not status or client.ends:
            client = bench2.Client(courier)
        time.sleep(0.004)
    if taken < MESSAGES * 9 // 10:
        raise CannotRun("only %d messages were taken on" % taken)
    time.sleep(1)
    most = max(most, used(courier.state))
    case.record("before: %d bytes: %s" % most)
    if TROUBLE:
        mgmt = bench2.free_port()
        courier.start(mgmt=mgmt, wait=False, listening=listening)
        end = time.monotonic() + 20
        while not courier.healthy(mgmt):
            if time.monotonic() > end:
                raise CannotRun("the new process never said yes")
            time.sleep(0.1)
        old.terminate()
        case.record("SIGTERM to the old process %d" % old.pid)
        end = time.monotonic() + 3.7
        while old.poll() is None and time.monotonic() < end:
            most = max(most, used(courier.state))
            time.sleep(0.005)
        old.kill()
    else:
        time.sleep(5)
    most = max(most, used(courier.state))
    case.record("most: %d bytes: %s" % most)
    # A megabyte is taken for the larger of its two meanings.
    if most[0] > DISK_MB << 20:
        case.breaks("the folder held %d bytes, and disk_mb is %d: %s" % (most[0], DISK_MB, most[1]))


bench2.play(os.path.dirname(os.path.abspath(__file__)), body)
