"""Stand-ins for store, backend servers and clients, and the instances under test.

All of them use loopback addresses and free ports. The store keeps rows with versions and answers
rows-get, rows-feed and rows-tx. Backend servers and clients speak plain HTTP/1.1 over sockets, so
that a case can see each byte.
"""
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.environ.get("QUETZALDALED",
                         os.path.join(REPOSITORY, "target/apps/quetzaldaled/quetzaldaled"))
HOST = "shop.example"
ATTEMPT = "X-Quetzaldale-Attempt-Id"
DEADLINE = "X-Quetzaldale-Deadline-Ms"
SEAL = "X-Quetzaldale-Response-Seal"
EXPECT = "X-Quetzaldale-Expect-Instance"
NOT_EXECUTED = "X-Quetzaldale-Not-Executed"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now(), text))
            self.file.flush()

    def verdict(self, text):
        self.add(text)
        print(text)


used_ports = set()


def free_port():
    """Returns a free port below the range that the system gives to outgoing connections."""
    for _ in range(2000):
        port = random.randint(12000, 31000)
        if port in used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        return port
    raise CannotRun("no free port")


class Message:
    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("closed")
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
        return Message(lines[0], headers)

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text

    def chunked(self):
        body = b""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return body
            body += self.exactly(size)
            self.line()

    def request(self):
        message = self.head()
        if message.get("Transfer-Encoding").lower() == "chunked":
            message.body = self.chunked()
        else:
            message.body = self.exactly(int(message.get("Content-Length", "0")))
        return message


class Listener:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", self.port))
        self.socket.listen(512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def stop_listening(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


class Store(Listener):
    """The platform's store: rows in tables, with one counter for their versions."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.history = []
        self.version = 0
        self.down = False  # All calls get 503, which says that nothing was done.
        super().__init__()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (value, self.version)
            self.history.append((self.version, table, key, value))
            self.changed.notify_all()

    def delete(self, table, key):
        with self.changed:
            self.version += 1
            self.rows.pop((table, key), None)
            self.history.append((self.version, table, key, None))
            self.changed.notify_all()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                request = reader.request()
                status, body = self.answer(request)
                text = json.dumps(body).encode()
                sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
        except (OSError, EOFError, ValueError):
            sock.close()

    def answer(self, request):
        if self.down:
            return 503, {}
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-get":
            return self.read(query)
        if parts.path == "/v1/rows-feed":
            return self.feed(query)
        if parts.path == "/v1/rows-tx":
            return self.commit(json.loads(request.body))
        return 404, {}

    @staticmethod
    def encode(value):
        return base64.b64encode(value.encode()).decode()

    def read(self, query):
        with self.changed:
            rows = [{"Table": table, "part": "", "Key": key, "Value": self.encode(value),
                     "Ver": version}
                    for (table, key), (value, version) in sorted(self.rows.items())
                    if table == query["Table"] and key >= query.get("From", "")]
            limit = int(query.get("Limit", "500"))
            return 200, {"Rows": rows[:limit], "HasMore": len(rows) > limit, "Ver": self.version,
                         "NowS": now()}

    def feed(self, query):
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        after = int(query["after"])
        with self.changed:
            while True:
                if self.down:
                    return 503, {}
                found = [entry for entry in self.history
                         if entry[0] > after and entry[1] == query["Table"]]
                left = end - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            rows = []
            for version, table, key, value in found:
                row = {"Table": table, "part": "", "Key": key, "Ver": version}
                row.update({"Deleted": True} if value is None else {"Value": self.encode(value)})
                rows.append(row)
            return 200, {"Rows": rows, "Ver": self.version, "NowS": now()}

    def commit(self, body):
        with self.changed:
            for row in body["Expected"]:
                current = self.rows.get((row["Table"], row["Key"]), (None, 0))
                if current[1] != row["Ver"]:
                    return 412, {"Rows": [], "Ver": self.version, "NowS": now()}
        for row in body["Puts"]:
            self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]).decode("latin-1"))
        for row in body["Deletes"]:
            self.delete(row["Table"], row["Key"])
        return 200, {"Ver": self.version, "NowS": now()}


class Backend(Listener):
    """A backend server. `work(backend, sock, request)` writes the answer; false closes."""

    def __init__(self, name, service, record, work):
        self.name = name
        self.service = service
        self.record = record
        self.work = work
        self.slots = 8
        self.sequence = 1
        self.state = "ready"
        self.runs = []
        super().__init__()

    def entry(self):
        return json.dumps({
            "Address": self.address, "born": 1,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "a", "Slots": self.slots},
            "Status": {"State": self.state, "Sequence": self.sequence, "ColdRemainingS": 0}})

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                request = reader.request()
                if request.get(EXPECT, self.name) != self.name:
                    sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                attempt = request.get(ATTEMPT)
                self.runs.append((now(), attempt))
                self.record.add("backend %s runs %s %s" % (self.name, attempt, request.target))
                if not self.work(self, sock, request):
                    break
        except (OSError, EOFError, ValueError) as problem:
            self.record.add("backend %s connection ended: %s" % (self.name, problem))
        sock.close()


def answer_head(request, status=200, length=None, extra=()):
    """The head of a backend's own answer: chunked if there is no length."""
    lines = ["HTTP/1.1 %d X" % status, "%s: %s" % (ATTEMPT, request.get(ATTEMPT)),
             "%s: seal-%s" % (SEAL, request.get(ATTEMPT))]
    lines.append("Content-Length: %d" % length if length is not None
                 else "Transfer-Encoding: chunked")
    return ("\r\n".join(lines + list(extra)) + "\r\n\r\n").encode()


def send_whole(sock, request, body, status=200, extra=()):
    sock.sendall(answer_head(request, status, len(body), extra) + body)
    return True


class Instance:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, store, logs, stop_limit=6):
        self.name = name
        self.addresses = {kind: "127.0.0.1:%d" % free_port()
                          for kind in ("CALLER", "READY", "DIRECTORY", "METRICS", "PEER")}
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C"),
            "QUETZALDALE_INSTANCE_ID": name, "QUETZALDALE_REGION": "r",
            "QUETZALDALE_FAILURE_DOMAIN": "a", "QUETZALDALE_FAILURE_DOMAINS": "a=r",
            "QUETZALDALE_STORE_ADDRESS": store.address,
            "QUETZALDALE_FLEET_KEY": "links-of-this-deployment-only",
            "QUETZALDALE_PROCESSOR_SHARE": "0.2", "QUETZALDALE_LINK_CAPACITY_MBPS": "1000.0",
            "QUETZALDALE_RETRY_BUDGET_RATIO": "0.2", "QUETZALDALE_RETRY_BUDGET_SLACK": "56",
            "QUETZALDALE_RETRY_BUDGET_WINDOW_S": "10",
            "QUETZALDALE_STOP_LIMIT_S": str(stop_limit)}
        for kind, address in self.addresses.items():
            environment["QUETZALDALE_%s_ADDRESS" % kind] = address
        self.log = open(os.path.join(logs, name + ".log"), "ab")
        self.process = subprocess.Popen([PROGRAM, "serve"], env=environment, cwd=REPOSITORY,
                                        stdout=self.log, stderr=self.log)

    def port(self, kind):
        return int(self.addresses[kind].split(":")[1])

    def is_ready(self):
        try:
            status = Call(self.port("READY"), "GET", "/v1/ready", attempt=None).run(1).status
            return status == 200
        except OSError:
            return False


class Call:
    """One request of a client, on a connection of its own unless a socket is given."""

    def __init__(self, port, method, target, attempt="", deadline_ms=None, body=None, headers=(),
                 receive_buffer=None):
        self.port = port
        self.attempt = attempt
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST]
        if attempt is not None:
            lines.append("%s: %s" % (ATTEMPT, attempt))
        if deadline_ms is not None:
            lines.append("%s: %d" % (DEADLINE, deadline_ms))
        if body is not None:
            lines.append("Content-Length: %d" % len(body))
        lines += list(headers)
        self.bytes = ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")
        self.receive_buffer = receive_buffer
        self.status = None
        self.head = None
        self.body = b""
        self.complete = False
        self.end = ""
        self.sent_at = None
        self.ended_at = None
        self.on_head = None

    def connect(self):
        sock = socket.socket()
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.settimeout(1)
        sock.connect(("127.0.0.1", self.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def run(self, patience, bytes_per_s=None, sock=None):
        """Sends the request and reads the answer, for at most `patience` seconds."""
        sock = sock or self.connect()
        until = time.monotonic() + patience
        self.sent_at = now()
        try:
            sock.sendall(self.bytes)
            self.read(sock, until, bytes_per_s)
        except socket.timeout:
            self.end = "the client gave up"
        except (EOFError, OSError) as problem:
            self.end = str(problem) or type(problem).__name__
        self.ended_at = now()
        sock.close()
        return self

    def read(self, sock, until, bytes_per_s):
        reader = Reader(sock)

        def fill(size=65536):
            left = until - time.monotonic()
            if left <= 0:
                raise socket.timeout()
            sock.settimeout(left)
            data = sock.recv(size)
            if not data:
                raise EOFError("closed")
            reader.buffer += data
            if bytes_per_s:
                time.sleep(len(data) / bytes_per_s)

        reader.fill = (lambda: fill(16384)) if bytes_per_s else fill
        self.head = reader.head()
        self.status = self.head.status
        if self.on_head:
            self.on_head()
        if self.head.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int(reader.line().split(b";")[0], 16)
                if size == 0:
                    while reader.line():
                        pass
                    break
                self.take(reader, size)
                reader.line()
        elif self.head.get("Content-Length"):
            self.take(reader, int(self.head.get("Content-Length")))
        else:
            try:
                while True:
                    self.body += reader.buffer
                    reader.buffer = b""
                    reader.fill()
            except EOFError:
                pass
        self.rest = reader.buffer
        self.complete = True
        self.end = "complete"

    def take(self, reader, size):
        left = size
        while left > 0:
            if not reader.buffer:
                reader.fill()
            piece = reader.buffer[:left]
            reader.buffer = reader.buffer[len(piece):]
            self.body += piece
            left -= len(piece)

    def __str__(self):
        return "%s status=%s body=%d bytes end=%s took=%.3f s" % (
            self.attempt, self.status, len(self.body), self.end,
            (self.ended_at or now()) - (self.sent_at or now()))


def route(name, prefix, kind, service, timeout_s, target_s, attempts=2, priority=0):
    return [name, HOST, prefix, kind, timeout_s, target_s, priority, None, attempts, service]


class Fleet:
    """A small deployment: one store, some backend servers and some instances."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.logs = tempfile.mkdtemp(prefix="quetzaldale-review-")
        self.store = Store()
        self.instances = []
        self.backends = []
        self.version = 0

    def configure(self, routes, services):
        self.version += 3
        self.store.put("op", "config", json.dumps({
            "Version": "%08x" % self.version,
            "Routes": {"Columns": ["Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS",
                                   "Priority", "TrafficSplit", "MaxAttempts", "Service"],
                       "Rows": routes},
            "Services": {"Columns": ["Name", "HealthPath", "MaxConnections", "Protocol", "Tls"],
                         "Rows": [[name, "/health", 330, "h1", False] for name in services]},
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3,
                       "IdleTimeoutS": 15}}))
        self.record.add("the store has acknowledged configuration %08x" % self.version)

    def backend(self, name, service, work):
        server = Backend(name, service, self.record, work)
        self.backends.append(server)
        self.store.put("servers", name, server.entry())
        return server

    def start(self, count):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the deploy file's build is missing")
        for number in range(count):
            self.instances.append(Instance("i%d" % (len(self.instances) + 1), self.store,
                                           self.logs))
        end = time.monotonic() + 15
        while not all(instance.is_ready() for instance in self.instances):
            if time.monotonic() > end:
                raise CannotRun("the instances are not ready")
            time.sleep(0.1)
        self.record.add("%d instances are ready" % len(self.instances))

    def stop(self):
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            instance.process.wait()
            instance.log.close()


def main(folder, play):
    """Runs `play(fleet)`, which returns whether the rule was broken: exits with 1, 0, or 2."""
    fleet = Fleet(folder)
    status = 2

    def give_up(*_):
        raise CannotRun("it took too long")

    signal.signal(signal.SIGTERM, give_up)
    try:
        status = 1 if play(fleet) else 0
    except CannotRun as problem:
        fleet.record.verdict("the case could not run: %s" % problem)
    except Exception:
        fleet.record.verdict("the case could not run: %s" % traceback.format_exc())
    finally:
        fleet.stop()
        if os.environ.get("KEEP_LOGS"):
            print(fleet.logs)
        else:
            for name in os.listdir(fleet.logs):
                os.remove(os.path.join(fleet.logs, name))
            os.rmdir(fleet.logs)
    sys.stdout.flush()
    os._exit(status)
