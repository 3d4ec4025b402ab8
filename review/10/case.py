"""A process is replaced: both processes together may not take more memory than the courier has."""

import socket
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import bench2
from bench2 import TROUBLE, CannotRun

MEMORY_MB = 96
MESSAGES = 200


def memory(process):
    """Bytes of a process; a page that several share is divided among them, so that the sum counts it once."""
    try:
        with open("/proc/%d/smaps_rollup" % process.pid, encoding="utf-8") as file:
            values = dict(line.split()[:2] for line in file if line.startswith(("Pss:", "Anonymous:")))
    except OSError:
        return 0, 0
    return int(values["Pss:"]) * 1024, int(values["Anonymous:"]) * 1024


def body(case):
    endpoint = bench2.Endpoint(case.record, "s-00000001", 7)
    agent = bench2.Agent(case.record, [endpoint.entry()])
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(("127.0.0.1", 0))
    listening.listen(256)
    courier = bench2.Courier(case, agent, bench2.settings(), memory_mb=MEMORY_MB)
    courier.port = listening.getsockname()[1]
    courier.content["listen"] = "127.0.0.1:%d" % courier.port
    courier.write_config()
    processes = [courier.start(listening=listening)]
    most = [0, 0]

    def measure():
        sizes = [memory(process) for process in processes]
        total = [sum(size[0] for size in sizes), sum(size[1] for size in sizes)]
        if total > most:
            most[:] = total
            case.record("memory: %s" % ", ".join(
                "process %d %d bytes, of these %d private" % (process.pid, size[0], size[1])
                for process, size in zip(processes, sizes)))

    for _ in range(MESSAGES):
        if case.hand_in(courier, bench2.new_id()) != 202:
            raise CannotRun("a message was not taken on")
        time.sleep(0.01)
    measure()
    if TROUBLE:
        mgmt = bench2.free_port()
        processes.append(courier.start(mgmt=mgmt, wait=False, listening=listening))
        end = time.monotonic() + 20
        while not courier.healthy(mgmt):
            if time.monotonic() > end:
                raise CannotRun("the new process never said yes")
            measure()
            time.sleep(0.1)
        measure()
        processes[0].terminate()
        case.record("SIGTERM to the old process %d" % processes[0].pid)
        time.sleep(0.3)
        measure()
    else:
        time.sleep(3)
        measure()
    # A megabyte is taken for the larger of its two meanings.
    if most[0] > MEMORY_MB << 20:
        case.breaks("the courier takes %d bytes of memory, and memory_mb is %d" % (most[0], MEMORY_MB))


bench2.play(os.path.dirname(os.path.abspath(__file__)), body)
