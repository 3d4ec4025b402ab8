"""Stand-ins for one courier: the platform's agent, endpoints and clients. Loopback addresses only, real clock.

A case creates a Case, starts what it needs, notes what is sent, answered and run in record.txt, and ends with
finish(). Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
"""

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """record.txt: one line for each event, with seconds since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class LineReader:
    """Reads lines and counted bytes from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def line(self):
        while b"\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """First line and headers (lower case), or None at the end of the input."""
        first = self.line()
        if first is None:
            return None
        headers = {}
        while True:
            line = self.line()
            if line is None:
                return None
            if not line:
                return first, headers
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()


class Listener:
    """Accepts connections on a loopback address; a thread for each."""

    def __init__(self, serve, port=0):
        self.serve = serve
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(256)
        self.port = self.sock.getsockname()[1]
        self.open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def shut(self):
        """Ends the listening socket: new connections are refused."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def close_open(self):
        for conn in list(self.open):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.open.add(conn)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn):
        try:
            self.serve(conn)
        except OSError:
            pass
        finally:
            self.open.discard(conn)
            conn.close()


class Agent:
    """The platform's agent: the list of endpoints, its watch, and the notices."""

    def __init__(self, record, hosts, seq=41):
        self.record = record
        self.lock = threading.Condition()
        self.hosts = {host["host"]: host for host in hosts}
        self.seq = seq
        self.changes = []
        self.notices = {}
        self.listener = Listener(self._serve)
        self.port = self.listener.port

    def change(self, host):
        """A change of one entry, told to every open watch."""
        with self.lock:
            self.seq += 1
            if host["health"] == "Gone":
                self.hosts.pop(host["host"], None)
            else:
                self.hosts[host["host"]] = host
            self.changes.append((self.seq, host))
            self.record("discovery tells seq %d: %s %s" % (self.seq, host["host"], host["health"]))
            self.lock.notify_all()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def _serve(self, conn):
        reader = LineReader(conn)
        while True:
            head = reader.head()
            if head is None:
                return
            first, headers = head
            body = reader.exactly(int(headers.get("content-length", "0")))
            if first.startswith("POST /v1/outcomes"):
                self._outcomes(conn, body)
            elif "watch=1" in first:
                self._watch(conn, int(first.split("after=")[1].split()[0]))
                return
            else:
                with self.lock:
                    text = json.dumps(self.whole()).encode()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def _outcomes(self, conn, body):
        for line in body.decode().splitlines():
            notice = json.loads(line)
            with self.lock:
                self.notices.setdefault(notice["id"], []).append((time.monotonic(), notice))
            self.record("notice %s" % line)
        conn.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

    def _watch(self, conn, after):
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def chunk(data):
            conn.sendall(b"%x\r\n" % len(data) + data + b"\r\n")

        with self.lock:
            known = self.seq
            if after != known:
                missed = [host for seq, host in self.changes if seq > after]
                base = self.seq - len(self.changes)
                text = ({"seq": known, "whole": False, "hosts": missed} if base <= after <= known else self.whole())
                first = json.dumps(text).encode() + b"\n"
            else:
                first = b"\n"
        chunk(first)
        while True:
            with self.lock:
                if self.seq == known:
                    self.lock.wait(2.0)
                due = [host for seq, host in self.changes if seq > known]
                known = self.seq
            if due:
                latest = {host["host"]: host for host in due}
                chunk(json.dumps({"seq": known, "whole": False, "hosts": list(latest.values())}).encode() + b"\n")
            else:
                chunk(b"\n")

    def retire(self):
        """The old address after a new configuration: no new connections, and the open ones end after 1.5 s."""
        self.record("the agent at port %d takes no new connections" % self.port)
        self.listener.shut()

        def close():
            time.sleep(1.5)
            self.listener.close_open()

        threading.Thread(target=close, daemon=True).start()

    def notice_of(self, message_id):
        with self.lock:
            return self.notices.get(message_id, [])


class Endpoint:
    """An endpoint. `behave(call)` answers a call; by default it runs every message and answers 200."""

    def __init__(self, record, name, block, behave=None, kind="std", site="a"):
        self.record = record
        self.name = name
        self.block = block
        self.kind = kind
        self.site = site
        self.behave = behave or Endpoint.run_all
        self.lock = threading.Lock()
        self.calls = []
        self.ran = []
        self.listener = Listener(self._serve)
        self.port = self.listener.port

    def entry(self, health="Ready", share=100.0):
        return {"host": self.name, "dial": "127.0.0.1:%d" % self.port, "site": self.site, "class": self.kind,
                "block": self.block, "health": health, "share": share, "born_ms": 0}

    def _serve(self, conn):
        reader = LineReader(conn)
        while True:
            head = reader.head()
            if head is None:
                return
            first, headers = head
            body = reader.exactly(int(headers.get("content-length", "0")))
            if body is None:
                return
            call = Call(self, conn, first, headers, body)
            with self.lock:
                self.calls.append(call)
            self.record("%s gets %s of %d bytes with %s" % (self.name, first.split()[1], len(body), call.ids))
            if self.behave(call) is False:
                return

    def run(self, message_id, body):
        with self.lock:
            self.ran.append((time.monotonic(), message_id, body))
        self.record("%s runs %s (%d bytes)" % (self.name, message_id, len(body)))

    def run_all(call):
        """Runs every message of the call and answers as a sound endpoint does."""
        for message_id, body in call.messages:
            call.endpoint.run(message_id, body)
        if call.bulk:
            states = [{"id": message_id, "state": "accepted"} for message_id, _ in call.messages]
            call.answer("200 OK", json.dumps(states).encode())
        else:
            call.answer("200 OK")

    def ran_ids(self):
        with self.lock:
            return [message_id for _, message_id, _ in self.ran]


class Call:
    """One call as an endpoint has received it."""

    def __init__(self, endpoint, conn, first, headers, body):
        self.endpoint = endpoint
        self.conn = conn
        self.headers = headers
        self.size = len(body)
        self.at = time.monotonic()
        self.bulk = first.split()[1] == "/inbox/bulk"
        if self.bulk:
            self.messages = [(item["id"], base64.b64decode(item["body"])) for item in json.loads(body)]
        else:
            self.messages = [(headers.get("x-request-id", ""), body)]
        self.ids = [message_id for message_id, _ in self.messages]

    def answer(self, status, body=b"", headers=""):
        self.endpoint.record("%s answers %s to %s" % (self.endpoint.name, status, self.ids))
        self.conn.sendall(("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, headers, len(body))).encode() + body)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


SAFE = {"name": "safe", "effect": "pure", "target": 1000000, "deadline": 5000000, "points": 1.0}
ONCE = {"name": "once", "effect": "side_effect", "target": 2000000, "deadline": 28000000, "points": 2.0,
        "late_worth": 0.4}
TURN = dict(ONCE, name="turn", in_turn=True)


def settings(**changes):
    """The settings of a small deployment, with the figures of a site file."""
    values = {
        "balancers": 1, "my_zone": "a", "discovery": "pushed", "weights": "nominal", "flavors": ["std"],
        "classes": [SAFE, ONCE, TURN],
        "extra": {"calls_out": 12, "per_call": [1], "routes_apart": [False]},
        "guarantees": {"must_ask_in": 10000000, "cold_from": 0.5, "cold": 1000000, "tip_multiple": 2.5,
                       "fall": 2000000, "stop_sending_within": 250000, "grace_to_answer": 20000, "order_settle": 0},
        "limits": {"max_open": 264, "most_tries": 8, "cancel": True, "idle_close": 15000000, "retry_after": True,
                   "connect_timeout": 1000000, "max_retry_after": 3000000, "multiplex": 1, "parallel_tries": False}}
    values.update(changes)
    return values


class Courier:
    """One courier, started by the deploy file's `run` on a state folder of its own."""

    def __init__(self, case, agent, config_settings, name="n0", disk_mb=3, memory_mb=192, sockets=1024):
        self.case = case
        self.record = case.record
        self.name = name
        self.port = free_port()
        self.mgmt = free_port()
        self.state = os.path.join(case.folder, name + "-state")
        self.tmp = os.path.join(case.folder, name + "-tmp")
        os.makedirs(self.state)
        os.makedirs(self.tmp)
        self.config = os.path.join(case.folder, name + ".json")
        self.agent = agent
        self.content = {
            "name": name, "listen": "127.0.0.1:%d" % self.port, "discovery": "127.0.0.1:%d" % agent.port,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb},
            "known": agent.whole(), "settings": config_settings}
        self.write_config()
        self.starts = 0

    def write_config(self):
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            json.dump(self.content, file)
        os.replace(self.config + ".new", self.config)

    def start(self, mgmt=None, wait=True, listening=None):
        """Starts a process; `listening` is the clients' socket where the platform holds it."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            run = next(line for line in file if line.startswith("run = ")).strip()[len('run = "'):-1]
        self.starts += 1
        log = open(os.path.join(self.case.folder, "%s-%d.log" % (self.name, self.starts)), "w")
        environment = dict(os.environ, PROXY_NAME=self.name, PROXY_LISTEN=self.content["listen"],
                           PROXY_DISCOVERY=self.content["discovery"], PROXY_STATE=self.state,
                           PROXY_CONFIG=self.config, TMPDIR=self.tmp,
                           PROXY_MGMT="127.0.0.1:%d" % (mgmt or self.mgmt))
        if listening is not None:
            environment["PROXY_ACCEPT_FD"] = "0"
        process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                   stdin=subprocess.DEVNULL if listening is None else listening,
                                   stdout=log, stderr=subprocess.STDOUT)
        self.case.processes.append(process)
        self.process = process
        self.record("starts courier %s, process %d" % (self.name, process.pid))
        if wait:
            self.wait_ready()
        return process

    def wait_ready(self, seconds=30):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun("the courier ended with %s" % self.process.returncode)
            if self.up() == 200:
                self.record("courier %s is ready" % self.name)
                return
            time.sleep(0.05)
        raise CannotRun("the courier was not ready in time")

    def up(self):
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=2) as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = LineReader(sock).head()
                return int(head[0].split()[1]) if head else 0
        except OSError:
            return 0

    def call(self, line, port=None):
        """An operator's call; returns the first line of the answer."""
        with socket.create_connection(("127.0.0.1", port or self.mgmt), timeout=3) as sock:
            sock.sendall(line.encode() + b"\n")
            answer = LineReader(sock).line()
            self.record("operator: %s -> %s" % (line, answer))
            return answer

    def healthy(self, port):
        """Whether the process with that second address says that it takes clients."""
        try:
            return self.call("HEALTH", port).startswith("+OK")
        except (OSError, AttributeError):
            return False

    def kill(self):
        self.record("SIGKILL to process %d" % self.process.pid)
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self):
        self.record("SIGTERM to process %d" % self.process.pid)
        self.process.send_signal(signal.SIGTERM)


class Client:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, courier):
        self.courier = courier
        self.record = courier.record
        self.sock = socket.create_connection(("127.0.0.1", courier.port), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = LineReader(self.sock)
        self.ends = False

    def send(self, data):
        self.sock.sendall(data)

    def answer(self, timeout=0.4):
        """Status of the next answer; None at the end of the connection, 0 if nothing came in time."""
        self.sock.settimeout(timeout)
        try:
            head = self.reader.head()
            if head is None:
                return None
            self.reader.exactly(int(head[1].get("content-length", "0")))
            self.ends = head[1].get("connection", "").lower() == "close"
            return int(head[0].split()[1])
        except socket.timeout:
            return 0
        except OSError:
            return None

    def close(self):
        self.sock.close()


def request(message_id, class_name="safe", dest=7, body=b"hello", timeout_ms=4000, key=None, more=""):
    path = "/" + class_name + ("/" + key if key else "")
    return (("POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"
             "X-Timeout-Ms: %d\r\nContent-Length: %d\r\nX-Consignee: dest=%d\r\n%s\r\n")
            % (path, message_id, class_name, timeout_ms, len(body), dest, more)).encode() + body


def new_id(number=[0]):
    number[0] += 1
    return "%016x" % (0x9b1f03aa00000000 + number[0])


class Case:
    """One play of a case: its record, its folder and the processes that it started."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.broken = []
        self.record("trouble %s" % ("on" if TROUBLE else "off"))

    def hand_in(self, courier, message_id, **fields):
        """Hands a message in on a connection of its own; returns the status of the answer."""
        client = Client(courier)
        client.send(request(message_id, **fields))
        status = client.answer()
        client.close()
        self.record("client hands in %s: %s" % (message_id, status))
        return status

    def breaks(self, text):
        self.record("RULE BROKEN: " + text)
        self.broken.append(text)

    def finish(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as log:
                    for line in log:
                        self.record("log %s: %s" % (name, line.rstrip()))
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, body):
    """Plays a case and exits with its code."""
    def out_of_time(*_):
        raise CannotRun("out of time, or told to end")

    case = Case(folder)
    code = 2
    signal.signal(signal.SIGALRM, out_of_time)
    signal.signal(signal.SIGTERM, out_of_time)
    signal.alarm(112)
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "railspar.jar")):
            raise CannotRun("target/railspar.jar is not built")
        body(case)
        code = 1 if case.broken else 0
    except CannotRun as e:
        case.record("cannot run: %s" % e)
    except Exception as e:  # a fault of the case itself says nothing about the rule
        case.record("cannot run: %r" % e)
    finally:
        signal.alarm(0)
        case.finish()
    case.record("exit %d" % code)
    print("exit %d%s" % (code, ": " + "; ".join(case.broken[:3]) if case.broken else ""))
    sys.exit(code)
