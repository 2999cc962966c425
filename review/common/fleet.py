"""Stand-ins for the cases of this review: the object store, a server of a plain service, a client, and processes
of the system.

They follow PROTOCOL.md and use the Python standard library only. Every address is a loopback address, every port a free
one, and every file lies in a temporary folder. All processes end with the case.
"""
import asyncio
import json
import os
import re
import signal
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "case.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
PREFIX = "Laburnumbank-"
TIME_LIMIT_S = 100  # of a whole case
HELD, BROKEN, NOT_RUN = 0, 1, 2


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SO_LINGER, zero seconds
    writer.transport.abort()


def parse_head(data):
    lines = data.decode("latin-1").split("\r\n")
    fields = [line.split(":", 1) for line in lines[1:] if line]
    return lines[0], {name.strip().lower(): value.strip() for name, value in fields}


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def message(status, headers, body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Listener:
    """A server on a free loopback port that serves each connection until the peer closes it."""

    def __init__(self, host="127.0.0.1"):
        self.host, self.connections, self.address = host, set(), None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.accepted, self.host, port)
        self.address = "%s:%d" % (self.host, self.server.sockets[0].getsockname()[1])

    async def accepted(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # The peer closed the connection, or the case has ended.
        finally:
            self.connections.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self, case):
        super().__init__()
        self.case, self.revision, self.objects, self.events = case, 1, {}, []

    def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        former = self.objects.get((kind, name), {})
        entry = {"metadata": {"name": name, "revision": self.revision, "finalizers": [], "deletion_pending": False},
                 "spec": former.get("spec", {}) if spec is None else spec,
                 "status": former.get("status", {}) if status is None else status}
        self.objects[kind, name] = entry
        self.events.append((self.revision, kind, entry, False))

    def delete(self, kind, name):
        self.revision += 1
        entry = self.objects.pop((kind, name))
        self.events.append((self.revision, kind, entry, True))

    async def serve(self, reader, writer):
        while True:
            first, _, sent = await read_message(reader)
            method, target = first.split()[:2]
            if method == "GET":
                status, body = await self.read(target)
            else:
                status, body = self.write(method, target, sent)
            writer.write(message(status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
            await writer.drain()

    def write(self, method, target, sent):
        path, _, query = target.partition("?")
        parts = path.split("/")[2:]
        body = json.loads(sent) if sent else {}
        metadata = body.get("metadata", {})
        name = metadata["name"] if method == "POST" else parts[1]
        known = self.objects.get((parts[0], name))
        asked = dict(pair.split("=") for pair in query.split("&") if pair).get("revision", metadata.get("revision"))
        if method == "POST" and known:
            return 409, known
        if method != "POST" and not known:
            return 404, {}
        if known and asked is not None and int(asked) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(parts[0], name)
            return 200, {}
        if len(parts) == 3:
            self.put(parts[0], name, status=body.get("status", {}))
        else:
            self.put(parts[0], name, spec=body.get("spec", {}))
        return 200, self.objects[parts[0], name]

    async def read(self, target):
        path, _, query = target.partition("?")
        kind = path.split("/")[2]
        if path.count("/") == 3:
            entry = self.objects.get((kind, path.split("/")[3]))
            return (200, entry) if entry else (404, {})
        parameters = dict(pair.split("=") for pair in query.split("&") if pair)
        if "watch" not in parameters:
            entries = [entry for (of, _), entry in sorted(self.objects.items()) if of == kind]
            return 200, {"entries": entries, "has_more": False, "at": self.revision}
        since, end = int(parameters["watch"]), time.monotonic() + int(parameters["wait_ms"]) / 1000
        while True:
            found = [(entry, gone) for at, of, entry, gone in self.events if of == kind and at > since]
            if found or time.monotonic() >= end:
                return 200, {"events": [{"object": entry, "deleted": gone} for entry, gone in found],
                             "at": self.revision}
            await asyncio.sleep(0.01)


class Server(Listener):
    """A server of a plain service. It records each request that it begins to run, and answers after `work_s`."""

    def __init__(self, case, name, work_s=0.03):
        super().__init__()
        self.case, self.name, self.work_s = case, name, work_s

    async def start(self, service):
        await self.listen()
        self.case.store.put("servers", self.name, {
            "service": service, "address": self.address, "zone": "zone-a", "version": 1, "slots": 6, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)})

    async def serve(self, reader, writer):
        while True:
            first, headers, body = await read_message(reader)
            await self.answer(writer, first, headers, body)
            await writer.drain()

    async def answer(self, writer, first, headers, body):
        request = headers.get((PREFIX + "Attempt-Id").lower())
        echo = {PREFIX + "Attempt-Id": request}
        if request is None:
            writer.write(message(400, {PREFIX + "Not-Executed": "1"}))
            return
        if headers.get((PREFIX + "Expect-Instance").lower()) != self.name:
            writer.write(message(421, {**echo, PREFIX + "Not-Executed": "1"}))
            return
        self.case.ran(request, self.name, first, headers, body)
        await asyncio.sleep(self.work_s)
        whole = message(200, {**echo, PREFIX + "Server-Signature": f"{self.name}.{request}"},
                        f"done {request} by {self.name}".encode())
        # The answer to a HEAD request has no body, whatever its length says (RFC 9110, 9.3.2).
        writer.write(whole[: whole.index(b"\r\n\r\n") + 4] if first.startswith("HEAD ") else whole)


class Daemon:
    """A process of a role, started as the deploy file does, with the settings that the role's template gives."""

    def __init__(self, case, role, name, **fields):
        self.case, self.role, self.name, self.process, self.is_ended = case, role, name, None, False
        self.address = self.operators = None  # Once it has started: for clients, and for questions whether it is ready.
        self.fields = {
            "node_name": name, "zone": "zone-a", "region": "region-a", "ip": "127.0.0.1", "internal_ports": [0, 0],
            "listen": {"frontend": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "platform": {"address": case.store.address},
            "bounds": {"retry_budget_ratio": 0.2, "budget_slack": 88, "retry_window_s": 10, "grace_s": 8.0}, **fields}

    def settings(self):
        """Fills in the template of the role; a section stands only if there is a value (DEPLOY.md)."""

        def find(path):
            found = self.fields
            for part in path.split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return found

        def value(match):
            found = find(match.group(1))
            return json.dumps(found) if match.group(2) else str(found)

        def section(match):
            try:
                return match.group(2) if find(match.group(1)) else ""
            except KeyError:
                return ""

        with open(os.path.join(ROOT, f"deploy/{self.role}.json.tmpl")) as template:
            text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template.read(), flags=re.S)
            return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)

    def command(self, settings_path):
        """The `run` line of the role in the deploy file, with another path of the settings."""
        with open(os.path.join(ROOT, "deploy/system.toml")) as deploy:
            run = re.search(rf'\[roles\.{self.role}\]\s*\nrun = "([^"]+)"', deploy.read()).group(1).split()
        return [settings_path if word == "/etc/laburnumbank/local.json" else word for word in run]

    async def start(self):
        """Starts the process; returns when it says that it has started, or has ended."""
        self.address = self.operators = None
        path = os.path.join(self.case.folder, self.name + ".json")
        with open(path, "w") as file:
            file.write(self.settings())
        self.process = await asyncio.create_subprocess_exec(
            *self.command(path), cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.case.folder, "LANG": "C"})
        self.case.note("started", daemon=self.name)
        while line := await asyncio.wait_for(self.process.stdout.readline(), 10):
            event = json.loads(line)
            if event.get("event") == "started":
                self.address, self.operators = event.get("callers"), event.get("operators")
                break
        self.readers = [asyncio.create_task(self.read_log(stream)) for stream in
                        (self.process.stdout, self.process.stderr)]
        self.waiter = asyncio.create_task(self.wait())

    async def read_log(self, stream):
        while line := await stream.readline():
            self.case.note("log", daemon=self.name, line=line.decode(errors="replace").strip())

    async def wait(self):
        code = await self.process.wait()
        self.is_ended = True
        self.case.note("ended", daemon=self.name, exit_code=code)

    async def wait_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                reader, writer = await connect(self.operators)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                first, _, _ = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if first.split()[1] == "200":
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready")

    def signal(self, number):
        self.case.note("signal", daemon=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


class Case:
    """One run of a case: the store, the configuration, and the record of what was sent, answered and run."""

    def __init__(self, name):
        self.name, self.trouble = name, os.environ.get("TROUBLE", "1") != "0"
        self.started_at, self.lines, self.runs, self.daemons = time.monotonic(), [], {}, []
        self.store = Store(self)

    def note(self, event, **fields):
        self.lines.append(json.dumps({"s": round(time.monotonic() - self.started_at, 4), "event": event, **fields}))

    def ran(self, request, server, first, headers, body):
        self.runs.setdefault(request, []).append(server)
        self.note("ran", request=request, server=server, line=first, bytes=len(body),
                  deadline_ms=headers.get((PREFIX + "Deadline-Ms").lower()))

    def configure(self, routes, services, limits=None, version=7):
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **(limits or {})},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]})

    async def settle(self):
        """Waits until a gateway that has just started counts as in touch (contact_ms is 3,000)."""
        await asyncio.sleep(3.5)

    def daemon(self, role, name, **fields):
        daemon = Daemon(self, role, name, **fields)
        self.daemons.append(daemon)
        return daemon

    def gateway(self):
        return self.daemon("gateway", "edge-a-1")

    def run(self, play, folder):
        """Plays the case; `play(case)` returns a list of what broke the rule. Exits with the result."""
        result = NOT_RUN
        try:
            with tempfile.TemporaryDirectory() as self.folder:
                broken = asyncio.run(asyncio.wait_for(self.play(play), TIME_LIMIT_S))
            result = BROKEN if broken else HELD
            for line in broken:
                self.note("broken", what=line)
            print(f"{self.name}: " + ("; ".join(broken) if broken else "the rule held"))
        except Exception as error:  # Whatever went wrong, the case could not run.
            self.note("not_run", reason=traceback.format_exc())
            print(f"{self.name}: could not run: {error!r}")
        self.note("result", code=result, trouble=self.trouble)
        with open(os.path.join(folder, "record.txt"), "w") as record:
            record.write("\n".join(self.lines) + "\n")
        sys.exit(result)

    async def play(self, play):
        try:
            await self.store.listen()
            return await play(self)
        finally:
            for daemon in self.daemons:
                await daemon.end()


def request_head(method, path, request, length=None, deadline_ms=8000, extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{PREFIX}Attempt-Id: {request}",
             f"{PREFIX}Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}", *extra]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
