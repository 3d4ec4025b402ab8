"""Stand-ins of endpoints, clients and the platform, and the start of couriers, for the scripts in review/.

They follow the pages: an endpoint runs a call once its last byte has arrived, the platform's agent answers a notice
with 204 at once, and a client waits 400 ms for the answer to a message. Every address is a loopback address.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.environ.get("RAILSPAR_ROOT") or os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text, at=None):
        now = (at if at is not None else time.monotonic()) - self.start
        self.file.write("%9.3f %s\n" % (now, text))
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_request(reader):
    """One HTTP request: (method, path, headers, body); None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ", 2)
        headers = {}
        for line in head[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return method, path, headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


class Endpoint:
    """An endpoint that runs each call after `work` seconds and answers 200. `answer` may replace that."""

    def __init__(self, record, name, block, work=0.02):
        self.record, self.name, self.block, self.work = record, name, block, work
        self.calls = []  # (time of the last byte, message id)
        self.delivered = {}  # message id: time of the 200
        self.answer = None
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, health="Ready"):
        return {"host": self.name, "dial": "127.0.0.1:%d" % self.port, "site": "a", "class": "std",
                "block": self.block, "health": health, "share": 100.0, "born_ms": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                _, path, headers, body = request
                ids = [headers["x-request-id"]] if path == "/inbox" else [one["id"] for one in json.loads(body)]
                for one in ids:
                    self.calls.append((time.monotonic(), one))
                    self.record("%s runs %s" % (self.name, one))
                if self.answer is not None:
                    await self.answer(ids, reader, writer)
                    continue
                await asyncio.sleep(self.work)
                text = json.dumps([{"id": one, "state": "accepted"} for one in ids]) if path != "/inbox" else ""
                writer.write(("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)).encode())
                await writer.drain()
                for one in ids:
                    self.delivered.setdefault(one, time.monotonic())
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Platform:
    """The agent on the courier's machine: the list of endpoints with its watches, and notices."""

    def __init__(self, record, endpoints):
        self.record = record
        self.seq = 41
        self.hosts = [one.entry() for one in endpoints]
        self.changes = []  # (seq, entry)
        self.watches = set()
        self.down = False  # while discovery is down the agent is silent about the list
        self.notices = {}  # message id: (time, status)
        self.notice_gate = None  # may keep a connection of notices silent
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self):
        return {"seq": self.seq, "whole": True, "hosts": self.hosts}

    async def serve(self, reader, writer):
        try:
            count = 0
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, path, _, body = request
                if method == "POST" and path == "/v1/outcomes":
                    count += 1
                    if self.notice_gate is not None and not await self.notice_gate(count, body, writer):
                        continue
                    for line in body.decode().splitlines():
                        notice = json.loads(line)
                        self.notices.setdefault(notice["id"], (time.monotonic(), notice["status"]))
                        self.record("notice %s %s" % (notice["id"], notice["status"]))
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                elif path.startswith("/discovery/hosts"):
                    after = re.search(r"after=(-?\d+)", path)
                    while self.down:
                        await asyncio.sleep(0.01)
                    if "watch=1" in path:
                        await self.watch(writer, int(after.group(1)) if after else -1)
                        break
                    text = json.dumps(self.known())
                    writer.write(("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)).encode())
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def watch(self, writer, after):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = after
        first = True
        beat = 0.0
        while not writer.is_closing():
            if self.down:
                await asyncio.sleep(0.01)
                continue
            text = ""
            if first and after < 41:
                text = json.dumps(self.known()) + "\n"
            elif sent < self.seq:
                entries = list({entry["host"]: entry for seq, entry in self.changes if seq > sent}.values())
                text = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}) + "\n"
            elif first or time.monotonic() >= beat:
                text = "\n"
            if text:
                data = text.encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                beat = time.monotonic() + 2
                sent = self.seq
            first = False
            await asyncio.sleep(0.01)

    def change(self, entry):
        self.seq += 1
        self.changes.append((self.seq, entry))
        self.hosts = [one for one in self.hosts if one["host"] != entry["host"]]
        if entry["health"] != "Gone":
            self.hosts.append(entry)
        self.record("the list at %d: %s %s" % (self.seq, entry["host"], entry["health"]))


CLASSES = [
    {"name": "safe", "effect": "pure", "target": 1000000, "deadline": 5000000, "points": 1.0},
    {"name": "once", "effect": "side_effect", "target": 2000000, "deadline": 28000000, "points": 2.0},
    {"name": "turn", "effect": "side_effect", "in_turn": True, "target": 2000000, "deadline": 28000000,
     "points": 2.0},
]


class Courier:
    """One courier: its addresses and folders, which its processes share."""

    def __init__(self, record, platform, memory_mb=192, sockets=1024, disk_mb=3, classes=None, settings=None,
                 shared_listener=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.port = free_port()
        self.processes = []
        self.platform = platform
        os.mkdir(os.path.join(self.folder, "state"))
        os.mkdir(os.path.join(self.folder, "tmp"))
        self.listener = None
        if shared_listener:
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(("127.0.0.1", self.port))
            self.listener.listen(1024)
        self.config = {
            "name": "n0", "listen": "127.0.0.1:%d" % self.port, "discovery": "127.0.0.1:%d" % platform.port,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb},
            "known": platform.known(),
            "settings": {
                "balancers": 2, "my_zone": "a", "discovery": "pushed", "weights": "rough", "flavors": ["std"],
                "classes": classes or CLASSES,
                "extra": {"calls_out": 12, "per_call": [1], "routes_apart": [False]},
                "guarantees": {"must_ask_in": 10000000, "cold_from": 0.18, "cold": 13000000, "fall": 2000000,
                               "tip_multiple": 2.5, "stop_sending_within": 250000, "grace_to_answer": 20000,
                               "order_settle": 0},
                "limits": {"max_open": 264, "most_tries": 8, "cancel": True, "idle_close": 15000000,
                           "retry_after": True, "connect_timeout": 1000000, "max_retry_after": 3000000}}}
        self.config["settings"].update(settings or {})
        self.write_config()

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(self.config, file)
        os.rename(path + ".new", path)

    def start(self):
        """Starts one process with the deploy file's `run`; returns it."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        if not os.path.exists(os.path.join(ROOT, "target", "railspar.jar")):
            raise CannotRun("target/railspar.jar is missing: run the build of the deploy file first")
        mgmt = free_port()
        environment = dict(os.environ, PROXY_NAME="n0", PROXY_LISTEN=self.config["listen"],
                           PROXY_DISCOVERY=self.config["discovery"], PROXY_STATE=os.path.join(self.folder, "state"),
                           PROXY_CONFIG=os.path.join(self.folder, "config.json"), PROXY_MGMT="127.0.0.1:%d" % mgmt,
                           TMPDIR=os.path.join(self.folder, "tmp"))
        if self.listener is not None:
            environment["PROXY_ACCEPT_FD"] = "0"
        log = open(os.path.join(self.folder, "log-%d.txt" % (len(self.processes) + 1)), "w")
        process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                   stdin=self.listener if self.listener is not None else subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        process.mgmt = mgmt
        process.log_path = log.name
        self.processes.append(process)
        self.record("courier process %d started" % len(self.processes))
        return process

    async def up(self):
        """The status of GET /up, or 0."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 0.4)
            writer.write(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError):
            return 0

    async def wait_until_up(self, seconds=30):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.up() == 200:
                self.record("GET /up is answered with 200")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the courier is not ready after %d s" % seconds)

    async def call(self, process, command):
        """One call at the second address; the answer, or an empty string."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", process.mgmt), 1)
            writer.write((command + "\n").encode())
            answer = (await asyncio.wait_for(reader.read(), 2)).decode().strip()
            writer.close()
            return answer
        except (OSError, asyncio.TimeoutError):
            return ""

    def signal(self, process, number):
        if process.poll() is None:
            self.record("%s to process %d" % (signal.Signals(number).name, self.processes.index(process) + 1))
            process.send_signal(number)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for process in self.processes:
            with open(process.log_path, errors="replace") as log:
                self.record("---- log of courier process %d, exit status %s"
                            % (self.processes.index(process) + 1, process.returncode))
                for line in log.read().splitlines()[-80:]:
                    self.record.file.write("          " + line[:400] + "\n")
        if self.listener is not None:
            self.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """Hands in messages, one at a time on a kept connection, and waits 400 ms for each answer."""

    def __init__(self, record, courier):
        self.record, self.courier = record, courier
        self.connection = None
        self.taken = {}  # message id: (time handed in, timeout in seconds)
        self.statuses = {}

    async def hand_in(self, message_id, message_class, dest, timeout_ms, body=b"hello", key=None):
        path = "/%s%s" % (message_class, "" if key is None else "/" + key)
        request = ("POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"
                   "X-Timeout-Ms: %d\r\nContent-Length: %d\r\nX-Consignee: dest=%d\r\n\r\n"
                   % (path, message_id, message_class, timeout_ms, len(body), dest)).encode() + body
        at = time.monotonic()
        status = 0
        for kept in ([True, False] if self.connection is not None else [False]):
            try:
                if not kept:
                    self.connection = await asyncio.wait_for(
                        asyncio.open_connection("127.0.0.1", self.courier.port), 0.4)
                reader, writer = self.connection
                writer.write(request)
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), max(0.001, at + 0.4 - time.monotonic()))
                status = int(head.split()[1])
                if b"connection: close" in head.lower():
                    writer.close()
                    self.connection = None
                break
            except asyncio.TimeoutError:
                self.drop()
                break
            except (OSError, asyncio.IncompleteReadError):
                # Closed between two requests: this request is sent once more on a new connection.
                self.drop()
        self.statuses[message_id] = status
        if status in (200, 202):
            self.taken[message_id] = (at, timeout_ms / 1000)
        self.record("client hands in %s %s dest=%d time %d ms: %s"
                    % (message_id, path, dest, timeout_ms, status or "no answer"), at)
        return status

    def drop(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None


def run(main, folder):
    """Runs a case's coroutine `main(record)`, which returns HELD or BROKEN, and exits with its result."""
    record = Record(folder)
    record("trouble: %s" % ("yes" if TROUBLE else "no"))
    try:
        result = asyncio.run(asyncio.wait_for(main(record), 115))
    except Exception as failure:  # anything unforeseen: the case could not run
        record("the case could not run: %r" % failure)
        print("the case could not run: %r" % failure)
        result = NOT_RUN
    record("result: %s" % {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[result])
    sys.exit(result)
