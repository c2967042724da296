"""Small stand-ins of the platform, its servers and its clients, on loopback addresses and the real clock.

Each speaks what PROTOCOL.md says, and behaves soundly unless a case tells it otherwise. The instances are
the project's own program, started as the deploy file does.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
GIVEN = set()
ID = "x-geraniummast-request-attempt-id"


class Record:
    """The file of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started


def free_ports(count):
    """Ports that nobody listens on, TCP and UDP, below those that systems give to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        if port in GIVEN:
            continue
        with contextlib.suppress(OSError), socket.socket() as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            GIVEN.add(port)
            ports.append(port)
    return ports


async def read_message(reader):
    """First line, headers by lower-case name and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                body += piece[:size]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first, headers, body


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def message(status, headers=(), body=b""):
    """Bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_message(status, value):
    return message(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Store:
    """The platform's store: objects by kind and name, one revision counter, and watches."""

    ANSWER_S = 0.004

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.port = None
        # Whether the event of a removal holds the object as it was last, with the revision of its last change before.
        self.keeps_last_revision = False
        # Set while the store answers nobody and does nothing.
        self.is_silent = False

    async def start(self):
        self.port = free_ports(1)[0]
        await asyncio.start_server(self.serve, HOST, self.port, backlog=512)

    async def wait_until_back(self):
        while self.is_silent:
            await asyncio.sleep(0.02)

    async def put(self, kind, name, spec=None, status=None):
        """Writes an object of the operator or of a server."""
        found = self.objects.setdefault(kind, {}).get(name)
        old = found or {"metadata": {"name": name, "create_rev": self.revision + 1, "finalizers": [],
                                     "deleting": False}, "spec": None, "status": None}
        new = {"metadata": dict(old["metadata"]),
               "spec": old["spec"] if spec is None else spec,
               "status": old["status"] if status is None else status}
        if found and new["spec"] == old["spec"] and new["status"] == old["status"]:
            return found
        self.revision += 1
        new["metadata"]["revision"] = self.revision
        self.objects[kind][name] = new
        await self.note(kind, new, False)
        return new

    async def remove(self, kind, name):
        found = self.objects.get(kind, {}).pop(name, None)
        if found:
            self.revision += 1
            revision = found["metadata"]["revision"] if self.keeps_last_revision else self.revision
            gone = {**found, "metadata": {**found["metadata"], "revision": revision}}
            await self.note(kind, gone, True)
        return found

    async def note(self, kind, thing, removed):
        self.events.append((self.revision, kind, thing, removed))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (asked := await read_message(reader)) is not None:
                was_silent = self.is_silent
                if not was_silent:
                    answer = await self.answer(*asked)
                if was_silent or self.is_silent:
                    await self.wait_until_back()
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, first, _headers, body):
        await asyncio.sleep(self.ANSWER_S)
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return message(404)
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        kept = self.objects.setdefault(kind, {})
        wire = json.loads(body) if body else {}
        if method == "GET" and name:
            return json_message(200, kept[name]) if name in kept else message(404)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 1000)) / 1000)
        if method == "GET":
            names = sorted(one for one in kept if one > query.get("after", ""))
            page = [kept[one] for one in names[:500]]
            return json_message(200, {"items": page, "more": len(names) > 500, "as_of": self.revision})
        if method == "POST":
            name = wire["metadata"]["name"]
            if name in kept:
                return json_message(409, kept[name])
            return json_message(201, await self.put(kind, name, wire.get("spec"), wire.get("status")))
        if name not in kept:
            return message(404)
        asked = wire.get("metadata", {}).get("revision") or query.get("revision")
        if asked is not None and int(asked) != kept[name]["metadata"]["revision"]:
            return json_message(409, kept[name])
        if method == "PUT":
            return json_message(200, await self.put(kind, name, wire.get("spec")))
        if method == "DELETE":
            return json_message(200, await self.remove(kind, name))
        return message(404)

    async def watch(self, kind, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            found = [{"object": thing, "removed": removed} for revision, changed, thing, removed in self.events
                     if revision > after and changed == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                return json_message(200, {"events": found, "as_of": self.revision})
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)


class Server:
    """A server of a service. Begins work when a slot is free, queues a few requests, rejects others."""

    IDLE_S = 10

    def __init__(self, world, name, service, zone, slots=3, queue=3, work_s=(0.06, 0.14), keyed=True):
        self.world, self.id, self.service, self.zone = world, name, service, zone
        self.slots, self.queue, self.work_s, self.keyed = slots, queue, work_s, keyed
        self.running, self.waiting = 0, 0
        self.freed = asyncio.Condition()
        self.holds = []
        self.seen = []
        self.busy_keys = {}
        self.handovers = 0
        self.born = int(time.time() * 1000)
        self.port = None
        # Called with each grant that the server takes.
        self.on_grant = lambda server, first, last, fence: None
        # Called with each request that the server begins.
        self.on_run = lambda server, request: None
        # How many of the answers get a second copy where the next answer on the connection is due.
        self.listener, self.writers, self.beat_task = None, set(), None
        self.extra_share = 0.0
        # How many of the requests it rejects, though it has room and its health check is good.
        self.shed_share = 0.0
        self.answers = 0
        self.extras = 0

    async def start(self, port=None):
        self.port = port or free_ports(1)[0]
        self.listener = await asyncio.start_server(self.serve, HOST, self.port, backlog=512)
        self.beat_task = asyncio.create_task(self.beat())
        self.world.tasks.append(self.beat_task)

    async def leave(self):
        """Removes the server's entry without a word before, as some servers that leave do."""
        self.beat_task.cancel()
        await self.world.store.remove("servers", self.id)

    def crash(self):
        """Ends the server's process, as the other sides see it: the system closes its sockets."""
        self.beat_task.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.close()
        self.holds = []

    async def beat(self):
        info = {"service": self.service, "version": "v1", "zone": self.zone, "capacity": self.slots}
        spec = {"address": f"{HOST}:{self.port}", "born": self.born, "info": info}
        # Later reports differ in their sequence only, which is no change of the entry.
        await self.world.store.wait_until_back()
        status = {"state": "ready", "sequence": 1, "warmup_left_s": 0, "born": self.born}
        await self.world.store.put("servers", self.id, spec, status)

    async def serve(self, reader, writer):
        late = None
        self.writers.add(writer)
        try:
            while True:
                asked = await asyncio.wait_for(read_message(reader), self.IDLE_S)
                if asked is None:
                    break
                if late is not None:
                    # The second copy of the last answer, at the point where the next one is expected.
                    writer.write(late)
                    self.extras += 1
                    self.world.record.write(f"server {self.id} gives a second copy of its last answer on the connection"
                                            f" before the one to {asked[1].get(ID)}")
                    await writer.drain()
                late = None
                answer, is_call = await self.answer(*asked, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if is_call:
                    self.answers += 1
                    if random.random() < self.extra_share:
                        late = answer
        except (ConnectionError, asyncio.TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, first, headers, body, reader):
        """The answer to a call, None to close the connection; and whether it was a client's request."""
        method, path, _ = first.split(" ")
        plain = [("X-Geraniummast-Instance-Id", self.id), ("Keep-Alive", f"timeout={self.IDLE_S}")]
        if headers.get("x-geraniummast-expected-instance", self.id) != self.id:
            return message(421, plain), False
        if path == "/health":
            return message(200, plain), False
        if path == "/grant":
            return self.grant(json.loads(body), plain), False
        if path == "/release":
            return await self.release(json.loads(body), plain), False
        return await self.run(headers, plain, reader), True

    def grant(self, order, plain):
        first, last, fence = order["from"], order["to"], order["fence"]
        if any(one <= last and first <= two and known > fence for one, two, known in self.seen):
            return message(409, plain)
        self.seen.append((first, last, fence))
        until = time.monotonic() + order["hold_s"]
        self.cut(first, last)
        self.holds.append((first, last, fence, until))
        self.on_grant(self, first, last, fence)
        self.world.record.write(f"server {self.id} is granted {first}-{last} fence {fence}")
        return message(200, plain)

    def cut(self, first, last):
        kept = []
        for one, two, fence, until in self.holds:
            if two < first or one > last:
                kept.append((one, two, fence, until))
                continue
            if one < first:
                kept.append((one, first - 1, fence, until))
            if two > last:
                kept.append((last + 1, two, fence, until))
        self.holds = kept

    async def release(self, order, plain):
        first, last = order["from"], order["to"]
        self.cut(first, last)
        self.seen.append((first, last, order["fence"]))
        async with self.freed:
            await self.freed.wait_for(
                lambda: not any(first <= key <= last for key, count in self.busy_keys.items() if count))
        self.handovers += 1
        self.world.record.write(f"server {self.id} releases {first}-{last} fence {order['fence']}")
        return message(200, [*plain, ("X-Geraniummast-Handover", f"{self.id}.{self.born}.{self.handovers}")])

    def held_fence(self, key):
        now = time.monotonic()
        return next((fence for one, two, fence, until in self.holds if one <= key <= two and now < until), None)

    async def run(self, headers, plain, reader):
        request = headers.get(ID)
        if request is None:
            return message(400, [*plain, ("X-Geraniummast-Not-Executed", "1")])
        echo = [*plain, ("X-Geraniummast-Request-Attempt-Id", request)]
        refused = [*echo, ("X-Geraniummast-Not-Executed", "1")]
        log = self.world.record.write
        log(f"request {request} reaches server {self.id}")
        if random.random() < self.shed_share:
            log(f"server {self.id} rejects {request}: shed")
            return message(503, refused)
        if self.running >= self.slots and self.waiting >= self.queue:
            log(f"server {self.id} rejects {request}: full")
            return message(503, refused)
        deadline = time.monotonic() + float(headers.get("x-geraniummast-deadline-ms", 30000)) / 1000
        self.waiting += 1
        async with self.freed:
            await self.freed.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            if time.monotonic() > deadline:
                log(f"server {self.id} rejects {request}: deadline")
                return message(503, refused)
            key = int(headers.get("x-geraniummast-shard-key", 0))
            if self.keyed and self.held_fence(key) is None:
                log(f"server {self.id} rejects {request}: key {key} not held")
                return message(421, refused)
            self.running += 1
            self.busy_keys[key] = self.busy_keys.get(key, 0) + 1
        self.world.ran(request, self.id, key)
        self.on_run(self, request)
        try:
            await asyncio.sleep(random.uniform(*self.work_s))
        finally:
            async with self.freed:
                self.running -= 1
                self.busy_keys[key] -= 1
                self.freed.notify_all()
        log(f"server {self.id} has run {request}")
        return message(200, [*echo, ("X-Geraniummast-Server-Signature", f"{self.id}.{request}")],
                       f"done {request}".encode())


class Instance:
    """One process of the project's program."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.choose_ports()
        self.process = None
        self.is_ready = False

    def choose_ports(self):
        self.front, self.ready, self.operator, self.peer, self.feed, self.relay = free_ports(6)

    def start(self, seeds):
        at = lambda port: f"{HOST}:{port}"
        command = [
            os.path.join(ROOT, "target/release/geraniummastd"), "gateway", "--name", self.name,
            "--data-centre", self.zone, "--caller-address", at(self.front), "--readiness-address", at(self.ready),
            "--operator-address", at(self.operator), "--peer-address", at(self.peer),
            "--feed-address", at(self.feed), "--relay-address", at(self.relay),
            "--seed-addresses=" + ",".join(at(seed.feed) for seed in seeds),
            "--store-address", at(self.world.store_port()), "--stop-timeout-s", "6", "--drain-s", "2",
            "--max-hold-s", "10", "--retry-ratio", "0.2", "--retry-slack", "56", "--retry-window-s", "10",
            "--processor-share", "0.2"]
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)

    async def probe(self):
        while True:
            with contextlib.suppress(Exception):
                self.is_ready = await asyncio.wait_for(self.ask(), 0.8) == 200
            await asyncio.sleep(0.5)

    async def ask(self):
        reader, writer = await asyncio.open_connection(HOST, self.ready)
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")
        answer = await read_message(reader)
        writer.close()
        return int(answer[0].split(" ")[1])


class World:
    """Everything that a case starts, and what was run and answered."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.servers, self.instances, self.tasks = [], [], []
        self.runs, self.answers, self.sent = {}, {}, {}
        self.counter = 0

    def store_port(self):
        return self.store.port

    def ran(self, request, server, key):
        self.runs.setdefault(request, []).append((self.record.now(), server, key))
        self.record.write(f"server {server} begins {request} key {key}")

    async def configure(self, services, hosts, version=1):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}
        spec = {"version": version, "services": services, "limits": limits, "hosts": hosts}
        await self.store.put("config", "main", spec)
        self.record.write(f"configuration {version} acknowledged")

    def start_instances(self, count, zones):
        self.instances += [Instance(self, f"front-{number}", zones[number % len(zones)]) for number in range(count)]
        for instance in self.instances:
            instance.start(self.instances[:3])
            self.tasks.append(asyncio.create_task(instance.probe()))

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not all(instance.is_ready for instance in self.instances):
            for instance in self.instances:
                if instance.process.poll() is not None:
                    # Another program took one of its ports meanwhile.
                    instance.choose_ports()
                    instance.start(self.instances[:3])
            if time.monotonic() > until:
                raise RuntimeError("the instances did not become ready")
            await asyncio.sleep(0.2)

    def next_id(self):
        self.counter += 1
        return f"{self.counter:08x}{random.getrandbits(32):08x}"

    async def request(self, instance, host, path, method="GET", key=None, timeout_s=1.2, body=b""):
        """One client attempt on a connection of its own; returns status (0 without an answer) and Retry-After."""
        request = self.next_id()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Geraniummast-Request-Attempt-Id: {request}",
                 f"X-Geraniummast-Deadline-Ms: {int(timeout_s * 1000)}", f"Content-Length: {len(body)}"]
        if key is not None:
            lines.append(f"X-Geraniummast-Shard-Key: {key}")
        self.sent[request] = (self.record.now(), path, key)
        self.record.write(f"client sends {request} {method} {path} key {key} to {instance.name}")
        status, headers, writer = 0, {}, None
        try:
            reader, writer = await asyncio.open_connection(HOST, instance.front)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = await asyncio.wait_for(read_message(reader), timeout_s)
            if answer is not None:
                status, headers = int(answer[0].split(" ")[1]), answer[1]
        except (ConnectionError, asyncio.TimeoutError):
            pass
        if writer:
            writer.close()
        self.answers[request] = (self.record.now(), status)
        self.record.write(f"client gets {status or 'no answer'} for {request}")
        return request, status, float(headers.get("retry-after", 0.1))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.close()


def run_case(main, record_path):
    """Runs a case for 115 s at most, and ends without waiting for clients and servers that still wait."""
    async def run():
        try:
            code = await asyncio.wait_for(main(record_path), 115)
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            print(f"could not run: {error!r}")
            code = 2
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())
