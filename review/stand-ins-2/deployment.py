"""A small deployment for the scripts of this review: a store, servers and clients as stand-ins, real gateways.

The gateways are separate processes. They are started with the `run` line, the environment and the template of the
settings that deploy/system.toml names, on loopback addresses and free ports. The bounds are those of the sheet of the
garden helpers. Everything that is sent, answered and run goes to record.txt of the case.
"""
import asyncio
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PREFIX = "Laburnumbank-"
HOST = "visits.example"
KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"
BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "loss_slack_ms": 200,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 92}
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3


class Record:
    """Writes record.txt: one line for each thing that happened, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def reset(writer):
    """Closes a connection with a TCP reset, as the end of a crashed process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers (lower-case names) and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


def message(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Listener:
    """Listens on a loopback address and serves connections until it is closed."""

    def __init__(self):
        self.connections, self.server, self.address = set(), None, None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.accepted, "127.0.0.1", port, backlog=512)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def accepted(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, OSError, ValueError):
            pass  # The peer has closed the connection, or the script ends.
        finally:
            self.connections.discard(writer)
            writer.close()

    def crash(self):
        """Closes the port and resets all connections."""
        self.server.close()
        for writer in list(self.connections):
            reset(writer)


class Store(Listener):
    """The platform's store: objects by kind and name, one revision counter, lists and watches."""

    def __init__(self, record):
        super().__init__()
        self.record, self.revision, self.objects, self.events = record, 1, {}, []
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec=None, status=None):
        """Writes an object. A write that changes nothing but `sequence` does not change a server's entry."""
        old = self.objects.get((kind, name), {"spec": {}, "status": {}})
        new = {"spec": old["spec"] if spec is None else spec, "status": old["status"] if status is None else status}

        def visible(entry):
            return entry["status"], {k: v for k, v in entry["spec"].items() if kind != "servers" or k != "sequence"}

        if (kind, name) in self.objects and visible(old) == visible(new):
            return
        self.revision += 1
        new["metadata"] = {"name": name, "revision": self.revision, "created": 0, "finalizers": [],
                           "deletion_pending": False}
        self.objects[kind, name] = new
        await self.add_event(kind, new, False)

    async def delete(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry is not None:
            self.revision += 1
            entry = {**entry, "metadata": {**entry["metadata"], "revision": self.revision}}
            await self.add_event(kind, entry, True)

    async def add_event(self, kind, entry, deleted):
        self.events.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        if kind != "gateways":
            self.record(f"store: {kind}/{entry['metadata']['name']} revision {self.revision} "
                        f"{'removed' if deleted else json.dumps(entry['spec'])[:160]}")
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            line, _, sent = await read_message(reader)
            method, target = line.split()[:2]
            status, body = await self.reply(method, target, json.loads(sent) if sent else {})
            writer.write(message(status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
            await writer.drain()

    async def reply(self, method, target, sent):
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")[1:]
        parameters = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "POST":
            name = sent["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            await self.put(kind, name, sent.get("spec", {}))
            return 200, self.objects[kind, name]
        if method in ("PUT", "DELETE"):
            entry = self.objects.get((kind, name))
            if entry is None:
                return 404, {}
            revision = parameters.get("revision", sent.get("metadata", {}).get("revision"))
            if revision is not None and int(revision) != entry["metadata"]["revision"]:
                return 409, entry
            if method == "DELETE":
                await self.delete(kind, name)
                return 200, {}
            if len(parts) > 2:
                await self.put(kind, name, status=sent.get("status", {}))
            else:
                await self.put(kind, name, spec=sent.get("spec", {}))
            return 200, self.objects[kind, name]
        if name is not None:
            entry = self.objects.get((kind, name))
            return (404, {}) if entry is None else (200, entry)
        if "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]), int(parameters.get("wait_ms", 0)) / 1000)
        entries = [entry for (k, _), entry in sorted(self.objects.items()) if k == kind]
        return 200, {"entries": entries, "has_more": False, "at": self.revision}

    async def watch(self, kind, revision, wait_s):
        end = time.monotonic() + min(wait_s, 30)
        while True:
            found = [event for at, k, event in self.events if k == kind and at > revision]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server(Listener):
    """A server of a plain service or of streams. A subclass says what a request does.

    It registers itself, writes its entry every heartbeat, answers 421 to requests for another instance, echoes the id
    of a request and signs what it has run.
    """

    def __init__(self, deployment, service, name):
        super().__init__()
        self.deployment, self.record, self.service, self.name = deployment, deployment.record, service, name
        self.zone, self.sequence, self.state, self.beats = "sl-central-a", 0, "ready", None
        self.born = 0

    async def start(self, port=0):
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        await self.listen(port)
        await self.write_entry()
        self.beats = asyncio.create_task(self.beat())

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def write_entry(self):
        await self.deployment.store.put("servers", self.name, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    async def serve(self, reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            method, target = line.split()[:2]
            request = headers.get((PREFIX + "Attempt-Id").lower())
            echo = {PREFIX + "Attempt-Id": request}
            if target == "/healthz":
                writer.write(message(200, {PREFIX + "Instance-Id": self.name}))
            elif request is None:
                writer.write(message(400, {PREFIX + "Not-Executed": "1"}))
            elif headers.get((PREFIX + "Expect-Instance").lower(), self.name) != self.name:
                self.record(f"{self.name}: {request} is for another instance, 421")
                writer.write(message(421, {**echo, PREFIX + "Not-Executed": "1"}))
            else:
                self.record(f"{self.name}: {request} arrives, {method} {target}")
                echo[PREFIX + "Server-Signature"] = f"{self.name}.{request}"
                if not await self.run(writer, request, target, headers, body, echo):
                    return
            await writer.drain()

    async def run(self, writer, request, target, headers, body, echo):
        """Runs a request and answers it; returns whether the connection stays open."""
        raise NotImplementedError


def render(template, fields):
    """Fills in a template of settings, as far as this project's templates need it: {{a.b}} and {{a.b|json}}."""
    def value(found):
        current = fields
        for name in found.group(1).split("."):
            current = current[int(name)] if isinstance(current, list) else current.get(name)
            if current is None:
                break
        if found.group(2):
            return json.dumps(current)
        return "" if current is None else str(current)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Gateway:
    """A laburnumd process in the role `gateway`, as deploy/system.toml starts it."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone, self.process = deployment, name, zone, None
        self.ports = {"frontend": free_port(), "ready": free_port(), "control": free_port()}
        self.address = f"127.0.0.1:{self.ports['frontend']}"

    async def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        fields = {
            "node_name": self.name, "zone": self.zone, "region": "sl-central", "ip": "127.0.0.1",
            "listen": {"frontend": self.address, "ready": f"127.0.0.1:{self.ports['ready']}"},
            "internal_ports": [self.ports["control"], self.ports["control"]],
            "platform": {"address": self.deployment.store.address}, "bounds": BOUNDS,
            "limits": {"memory_mb": 390}}
        settings = self.deployment.folder_of(self.name) / "local.json"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        words = role["run"].split()
        words[words.index("--settings") + 1] = str(settings)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(settings.parent), "LANG": "C"}
        environment.update({name: render(text, fields) for name, text in role.get("env", {}).items()})
        log = open(settings.parent / "log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / words[0]), *words[1:], cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        self.deployment.record(f"{self.name}: started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split()[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """The store, servers and gateways of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="laburnum-review-"))
        self.store = Store(self.record)
        self.gateways, self.servers, self.ids = [], [], itertools.count(1)

    def folder_of(self, name):
        folder = self.temporary / name
        folder.mkdir(exist_ok=True)
        return folder

    async def start(self, configuration, servers, gateways):
        await self.store.listen()
        await self.store.put("config", "main", configuration)
        self.servers = servers
        for server in servers:
            await server.start()
        self.gateways = [Gateway(self, f"edge-{zone}-{number}", zone) for number, zone in enumerate(gateways, 1)]
        for gateway in self.gateways:
            await gateway.start()
        for _ in range(100):
            if all([await gateway.is_ready() for gateway in self.gateways]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("a gateway does not become ready")
        # A machine is in touch once its processes have run for contact_ms.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 0.2)
        self.record("all gateways are ready and in touch")

    def all_run(self):
        return all(gateway.process.returncode is None for gateway in self.gateways)

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        for server in self.servers:
            if server.beats is not None:
                server.beats.cancel()
            if server.server is not None:
                server.server.close()
        if self.store.server is not None:
            self.store.server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    def new_id(self):
        return "%016x" % next(self.ids)


def route(name, service, kind, prefix, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "service": service, "type": kind, "timeout_ms": 8000,
            "target_latency_ms": 500, "priority": 1, "max_attempts": 2, **more}


def configuration(routes, services):
    return {"version": 7, "routes": routes,
            "services": [{"name": name, "max_connections": 110, "slots": 6, "health_path": "/healthz", **more}
                         for name, more in services.items()],
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def request_bytes(method, path, request, body=b"", deadline_ms=8000, **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{PREFIX}Attempt-Id: {request}",
             f"{PREFIX}Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(script, case):
    """Runs a case: a coroutine function of a deployment and whether there is trouble, which returns whether the rule
    was broken. Ends with 1 if it was, 0 if it held, 2 if the case could not run."""
    folder = pathlib.Path(script).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def interrupted(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)  # The processes that were started end all the same.

    async def play():
        deployment = Deployment(folder)
        deployment.record(f"case {folder.name}, {'with' if has_trouble else 'without'} the disruption")
        try:
            broken = await asyncio.wait_for(case(deployment, has_trouble), 110)
            deployment.record("RULE BROKEN" if broken else "the rule held")
            return 1 if broken else 0
        except Exception as error:  # Anything unforeseen means that the case could not run.
            deployment.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await deployment.stop()

    outcome = asyncio.run(play())
    print(f"{folder.name}: {['the rule held', 'rule broken', 'could not run'][outcome]}")
    sys.exit(outcome)
