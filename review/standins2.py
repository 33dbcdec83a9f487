"""Stand-ins of the store, backend servers and clients, and a launcher of the daemon.

They speak what the users' pages say, over loopback addresses and the real clock.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target/apps/quetzaldaled/quetzaldaled")
ID, DEADLINE = "x-quetzaldale-attempt-id", "x-quetzaldale-deadline-ms"
EXPECT = "x-quetzaldale-expect-instance"
SEAL, NOT_RUN = "X-Quetzaldale-Response-Seal", "X-Quetzaldale-Not-Executed"
_used = set()


def free_port(host="127.0.0.1"):
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        # Listeners stay below the range of outgoing connections where possible.
        port = 10000 + port % 20000
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        if (host, port) not in _used:
            _used.add((host, port))
            return port


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


async def read_head(reader):
    """Returns the start line, the fields and their names as sent, or None at the stream's end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields, names = {}, []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            names.append(name)
            # A name with a blank is another name: nothing is taken from such a field.
            fields[name.lower()] = value.strip()
    return lines[0], fields, names


async def read_body(reader, fields, until_close=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


def message(start, fields, body=b""):
    text = start + "\r\n" + "".join("%s: %s\r\n" % f for f in fields)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


def abort(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store. Each door is an address of its own, which can be disrupted alone."""

    def __init__(self):
        self.rows, self.log, self.version, self.started = {}, [], 0, time.monotonic()
        self.changed = asyncio.Condition()
        self.doors, self.modes, self.oldest, self.tasks = [], {}, 0, set()

    async def open_door(self):
        port = free_port()
        name = "127.0.0.1:%d" % port
        self.modes[name] = "up"
        self.doors.append(await asyncio.start_server(
            lambda r, w: self._serve(name, r, w), "127.0.0.1", port))
        return name

    def set_mode(self, mode, door=None):
        """up, silent (no answer), busy (503), reset."""
        for name in ([door] if door else list(self.modes)):
            self.modes[name] = mode

    async def put(self, table, key, value, part=""):
        self._write(table, part, key, value)
        async with self.changed:
            self.changed.notify_all()

    def _write(self, table, part, key, value):
        self.version += 1
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = (value, self.version)
        self.log.append((self.version, table, part, key, value))

    @staticmethod
    def _row(table, part, key, value, version):
        row = {"Table": table, "part": part, "Key": key, "Ver": version}
        if value is None:
            row["Deleted"] = True
        else:
            row["Value"] = base64.b64encode(value.encode("latin-1")).decode()
        return row

    def _answer(self, **fields):
        fields.update(Ver=self.version, NowS=time.monotonic() - self.started)
        return fields

    async def _feed(self, query):
        after, table = int(query["after"]), query["Table"]
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            rows = [self._row(t, p, k, v, n) for n, t, p, k, v in self.log
                    if n > after and t == table]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer(Rows=rows)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _call(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/v1/rows-get":
            first = query.get("From", "")
            limit = min(500, int(query.get("Limit", 500)))
            table, part = query["Table"], query.get("part", "")
            found = sorted((k, v) for (t, p, k), v in self.rows.items()
                           if t == table and p == part and k >= first)
            rows = [self._row(table, part, k, v, n) for k, (v, n) in found[:limit]]
            return 200, self._answer(Rows=rows, HasMore=len(found) > limit)
        if parts.path == "/v1/rows-feed":
            return await self._feed(query)
        if parts.path == "/v1/rows-tx":
            entry = json.loads(body)
            for row in entry.get("Expected", []):
                place = (row["Table"], row.get("part", ""), row["Key"])
                if self.rows.get(place, ("", 0))[1] != row["Ver"]:
                    return 412, self._answer(Rows=[])
            for row in entry.get("Puts", []):
                if row["Table"] in ("op", "servers"):
                    return 403, {}
                # Values are bytes; here a character stands for a byte.
                value = base64.b64decode(row["Value"]).decode("latin-1")
                self._write(row["Table"], row.get("part", ""), row["Key"], value)
            async with self.changed:
                self.changed.notify_all()
            return 200, self._answer()
        return 404, {}

    async def _serve(self, door, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if self.modes[door] == "up":
                    await asyncio.sleep(0.004)
                    status, answer = await self._call(method, target, body)
                else:
                    status, answer = 503, {}
                if self.modes[door] == "silent":
                    await asyncio.sleep(3600)
                if self.modes[door] == "reset":
                    return abort(writer)
                if self.modes[door] == "busy":
                    status, answer = 503, {}
                writer.write(message("HTTP/1.1 %d X" % status,
                                     [("Content-Type", "application/json")],
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Request:
    def __init__(self, line, fields, body, at, raw_names=()):
        self.method, self.target, _ = line.split(" ", 2)
        self.raw_names = raw_names
        self.fields, self.body, self.at = fields, body, at
        self.id = fields.get(ID, "")


class Server:
    """A backend server: runs `slots` requests at once, queues a few, echoes ids, seals."""

    def __init__(self, record, name, service, zone, slots=4, queue=8, work_s=0.05):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.host, self.port, self.born = "127.0.0.1", free_port(), int(time.time() * 1000)
        self.sequence, self.state, self.busy, self.waiting = 1, "ready", 0, 0
        self.is_leaving, self.arrivals, self.runs = False, [], []
        self.done = []  # Ids of requests that ran to their end.
        self.hook = None  # async (server, request, writer) -> True if it has answered itself
        # (server, request, answer, previous answer on the connection) -> bytes sent ahead of it
        self.garble = None
        self.last = {}  # The previous answer on each connection.
        self.window = 0  # Bytes of the receive buffer; zero: the system's.
        self.reads_late_s = 0.0  # Above zero: the time of work before a body is read.
        self.writers, self.free = set(), asyncio.Condition()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def entry(self):
        return json.dumps({
            "Address": self.address, "born": self.born,
            "Info": {"Service": self.service, "Zone": self.zone, "Version": "1",
                     "Slots": self.slots},
            "Status": {"State": self.state, "Sequence": self.sequence, "ColdRemainingS": 0}})

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        sock.bind((self.host, self.port))
        self.listener = await asyncio.start_server(self._serve, sock=sock, limit=16384)

    def stop(self):
        """Ends as a process does: nothing is answered any more."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def seal(self, request_id):
        return "seal.%s.%s" % (self.name, request_id)

    def status_for(self, _request):
        return 200

    def body_for(self, request):
        return ("%s ran %s %s %d" % (self.name, request.method, request.target,
                                     len(request.body))).encode()

    def fields(self, request):
        fields = [("X-Quetzaldale-Attempt-Id", request.id)] if request.id else []
        if self.is_leaving:
            fields += [("Server-Leaving", "1"), ("Connection", "close")]
        return fields

    def refuse(self, request, status, more=()):
        return message("HTTP/1.1 %d X" % status,
                       [(NOT_RUN, "1")] + self.fields(request) + list(more), b"not run\n")

    def answer(self, request, status=200, body=None):
        body = self.body_for(request) if body is None else body
        return message("HTTP/1.1 %d X" % status,
                       self.fields(request) + [(SEAL, self.seal(request.id))], body)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if self.reads_late_s:
                    if not await self._read_late(head, reader, writer):
                        return
                    continue
                body = await read_body(reader, head[1])
                request = Request(head[0], head[1], body, self.record.now(), head[2])
                if not await self._handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.last.pop(writer, None)
            writer.close()

    async def _handle(self, request, reader, writer):
        """Answers a request; False if the connection ends with it."""
        if request.fields.get(EXPECT, self.name) != self.name:
            self.write(writer, request, self.refuse(request, 421))
            return True
        self.arrivals.append(request)
        self.record("%s gets %s" % (self.name, request.id))
        if self.hook and await self.hook(self, request, writer):
            return not writer.transport.is_closing()
        if self.waiting >= self.queue:
            self.record("%s refuses %s: full" % (self.name, request.id))
            self.write(writer, request, self.refuse(request, 503))
            return True
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._work(request))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record("%s drops %s" % (self.name, request.id))
                return False
        finally:
            work.cancel()
            gone.cancel()
            await asyncio.wait({gone})
        self.write(writer, request, self.answer(request, self.status_for(request)))
        await writer.drain()
        return not self.is_leaving

    def write(self, writer, request, answer):
        if self.garble:
            writer.write(self.garble(self, request, answer, self.last.get(writer, b"")))
        self.last[writer] = answer
        writer.write(answer)

    async def _read_late(self, head, reader, writer):
        """Works on a request for a while, and only then reads its body and answers."""
        request = Request(head[0], head[1], b"", self.record.now(), head[2])
        if request.fields.get(EXPECT, self.name) != self.name:
            self.write(writer, request, self.refuse(request, 421))
            return False
        self.arrivals.append(request)
        self.runs.append(request)
        self.record("%s begins to work on %s" % (self.name, request.id))
        await asyncio.sleep(self.reads_late_s)
        try:
            request.body = await read_body(reader, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record("%s finds %s broken off" % (self.name, request.id))
            return False
        self.done.append(request.id)
        self.record("%s has run %s, %d bytes" % (self.name, request.id, len(request.body)))
        self.write(writer, request, self.answer(request, self.status_for(request)))
        await writer.drain()
        return True

    async def _work(self, request):
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.busy < self.slots)
                self.busy += 1
        finally:
            self.waiting -= 1
        try:
            self.runs.append(request)
            self.record("%s runs %s" % (self.name, request.id))
            await asyncio.sleep(self.work_s)
            self.done.append(request.id)
        finally:
            self.busy -= 1
            async with self.free:
                self.free.notify()


class Answer:
    def __init__(self, status, fields, body, took, cause=""):
        self.status, self.fields, self.body, self.took = status, fields, body, took
        self.cause = cause  # Why there is no answer.


class Client:
    """Sends requests, each over a new connection or over one that it keeps."""

    count = 0

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.kept = {}  # Idle connections by address.

    @classmethod
    def new_id(cls):
        cls.count += 1
        return "%08x%08x" % (os.getpid(), cls.count)

    async def send(self, address, path, method="GET", body=b"", deadline_s=4.0, keep=False,
                   request_id=None, more=()):
        request_id = request_id or self.new_id()
        self.record("client sends %s %s %s to %s" % (request_id, method, path, address))
        began = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                self._exchange(address, path, method, body, deadline_s, keep, request_id, more),
                deadline_s)
        except asyncio.TimeoutError:
            answer = Answer(0, {}, b"", 0, "deadline")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer = Answer(0, {}, b"", 0, "closed: " + type(error).__name__)
        answer.id, answer.took = request_id, time.monotonic() - began
        self.record("client gets %s %s %s %s" % (
            request_id, answer.status or "nothing", answer.cause,
            answer.fields.get("quetzaldale-cause", "")))
        return answer

    async def send_chunked(self, address, path, coding_field, body, deadline_s=4.0):
        """POSTs a body in chunks; `coding_field` is the whole field that says so."""
        request_id = self.new_id()
        self.record("client sends %s POST %s in chunks to %s" % (request_id, path, address))
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        half = len(body) // 2
        head = ("POST %s HTTP/1.1\r\nHost: %s\r\nX-Quetzaldale-Attempt-Id: %s\r\n"
                "X-Quetzaldale-Deadline-Ms: %d\r\n%s\r\n\r\n"
                % (path, self.host, request_id, deadline_s * 1000, coding_field))
        writer.write(head.encode() + b"".join(
            b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]))
            + b"0\r\n\r\n")
        answer = Answer(0, {}, b"", 0, "nothing came")
        try:
            found = await asyncio.wait_for(read_head(reader), deadline_s)
            if found:
                answer = Answer(int(found[0].split(" ")[1]), found[1],
                                await asyncio.wait_for(read_body(reader, found[1], True),
                                                       deadline_s), 0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()
        answer.id = request_id
        self.record("client gets %s %s %s" % (request_id, answer.status, answer.cause))
        return answer

    async def _exchange(self, address, path, method, body, deadline_s, keep, request_id, more):
        pair = self.kept.pop(address, None) if keep else None
        if pair is None or pair[1].is_closing() or pair[0].at_eof():
            host, port = address.split(":")
            pair = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        reader, writer = pair
        is_kept = False
        try:
            fields = [("Host", self.host), ("X-Quetzaldale-Attempt-Id", request_id),
                      ("X-Quetzaldale-Deadline-Ms", "%d" % (deadline_s * 1000))] + list(more)
            if body:
                writer.write(message("%s %s HTTP/1.1" % (method, path), fields, body))
            else:
                writer.write(("%s %s HTTP/1.1\r\n" % (method, path)
                              + "".join("%s: %s\r\n" % f for f in fields)
                              + "\r\n").encode("latin-1"))
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError()
            answer = Answer(int(head[0].split(" ")[1]), head[1],
                            await read_body(reader, head[1], True), 0)
            is_kept = keep and head[1].get("connection", "").lower() != "close"
            return answer
        finally:
            if is_kept:
                self.kept[address] = pair
            else:
                writer.close()


class Instance:
    """One machine of the fleet with the deploy file's role `entry`."""

    def __init__(self, fleet, number, zone, door):
        self.name, self.zone, self.door = "front-%s-%d" % (zone, number), zone, door
        self.host = "127.0.%d.%d" % (1 + number // 200, 10 + number % 200)
        self.ports = {name: free_port(self.host)
                      for name in ("caller", "ready", "directory", "metrics", "peer")}
        self.fleet, self.process = fleet, None

    def address(self, name):
        return "%s:%d" % (self.host, self.ports[name])

    async def start(self):
        bounds = self.fleet.bounds
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env.update({"QUETZALDALE_" + key: value for key, value in {
            "INSTANCE_ID": self.name, "REGION": self.fleet.zones[self.zone],
            "FAILURE_DOMAIN": self.zone,
            "FAILURE_DOMAINS": ",".join("%s=%s" % z for z in self.fleet.zones.items()),
            "CALLER_ADDRESS": self.address("caller"), "READY_ADDRESS": self.address("ready"),
            "DIRECTORY_ADDRESS": self.address("directory"),
            "METRICS_ADDRESS": self.address("metrics"), "PEER_ADDRESS": self.address("peer"),
            "STORE_ADDRESS": self.door, "FLEET_KEY": "links-of-this-deployment-only",
            "PROCESSOR_SHARE": "0.2", "LINK_CAPACITY_MBPS": "1000.0",
            "RETRY_BUDGET_RATIO": bounds["ratio"], "RETRY_BUDGET_SLACK": bounds["slack"],
            "RETRY_BUDGET_WINDOW_S": "10", "STOP_LIMIT_S": bounds["grace"]}.items()})
        log = open(os.path.join(self.fleet.logs, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "serve", cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Fleet:
    """The store, the backend servers and the instances of one small deployment."""

    def __init__(self, record, logs, zones=None, grace="6", slack="56"):
        self.record, self.logs = record, logs
        self.zones = zones or {"alex-a": "alex"}
        self.bounds = {"ratio": "0.2", "slack": slack, "grace": grace}
        self.store, self.instances, self.servers = Store(), [], []
        self.version = 0
        self.routes, self.services = [], []

    async def publish(self, part=""):
        """Writes a new version of the configuration; with `part`, a draft that is not in force."""
        self.version += 3
        columns = ["Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS", "MaxAttempts",
                   "Priority", "Service", "TrafficSplit"]
        config = {
            "Version": "%08x" % self.version,
            "Routes": {"Columns": columns,
                       "Rows": [[route.get(name) for name in columns] for route in self.routes]},
            "Services": {"Columns": ["Name", "HealthPath", "MaxConnections"],
                         "Rows": [[name, "/health", 330] for name in self.services]},
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutS": 5.0,
                       "IdleTimeoutS": 20.0}}
        await self.store.put("op", "config", json.dumps(config), part)
        self.record("operator writes version %d to part %r" % (self.version, part))

    def add_route(self, name, service, kind="safe", timeout_s=4.0, target_s=1.0, attempts=3):
        if service not in self.services:
            self.services.append(service)
        self.routes.append({"Name": name, "Host": "shop.example", "Prefix": "/%s/" % name,
                            "Kind": kind, "TimeoutS": timeout_s, "TargetLatencyS": target_s,
                            "MaxAttempts": attempts, "Priority": 1, "Service": service})

    async def add_server(self, name, service, zone=None, window=0, **options):
        server = Server(self.record, name, service, zone or next(iter(self.zones)), **options)
        server.window = window
        await server.start()
        self.servers.append(server)
        await self.store.put("servers", name, server.entry())
        return server

    async def write_entry(self, server):
        server.sequence += 1
        await self.store.put("servers", server.name, server.entry())
        self.record("store accepts %s of %s" % (server.state, server.name))

    async def add_instance(self, zone=None):
        instance = Instance(self, len(self.instances), zone or next(iter(self.zones)),
                            await self.store.open_door())
        self.instances.append(instance)
        await instance.start()
        return instance

    async def await_ready(self, limit_s=10.0):
        """Waits until all instances say that they are ready; False if they don't."""
        end = time.monotonic() + limit_s
        probe = Client(lambda text: None, "ready")
        while time.monotonic() < end:
            answers = await asyncio.gather(*[
                probe.send(i.address("ready"), "/v1/ready", deadline_s=1.0)
                for i in self.instances])
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        for instance in self.instances:
            if instance.process:
                await instance.kill()
        for server in self.servers:
            server.stop()


def run_case(folder, play, limit_s=100.0):
    """Runs play(record, logs), which returns the status of the script, and exits with it."""
    record = Record(folder)

    async def guard():
        task = asyncio.ensure_future(play(record, logs))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    with tempfile.TemporaryDirectory() as logs:
        logs = os.environ.get("CASE_LOGS", logs)
        try:
            status = asyncio.new_event_loop().run_until_complete(guard())
        except (asyncio.CancelledError, asyncio.TimeoutError):
            record("the case did not end in time")
            status = 2
    record("exit %d" % status)
    sys.stdout.flush()
    os._exit(status)
