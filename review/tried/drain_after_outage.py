"""The store is silent for some seconds; three seconds after it is back, a server leaves without a report."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from fleet import PREFIX, Case, Server, Store, connect, read_message, request_head, reset  # noqa: E402

CLIENTS = 24
SILENCE_S = 4.5  # at least; the days of the site have up to 6.98 s
MAX_SILENCE_S = 6.9
CONTACT_S, DRAIN_S = 3.0, 2.0  # contact_ms and drain_ms of the site
LONGER_S = 0.1  # for which the server serves on after drain_ms: "a little longer"


class SilentStore(Store):
    """A store that for a while takes calls and answers none of them, and nothing later on their channels."""

    def __init__(self, case):
        super().__init__(case)
        self.is_silent, self.watched_at = False, 0

    async def read(self, target):
        if "/servers?watch" in target:
            self.watched_at = time.monotonic()
        if not self.is_silent:
            before = self.silences
            answer = await super().read(target)
            if before == self.silences:
                return answer
        await asyncio.Event().wait()

    silences = 0

    def write(self, method, target, sent):
        if self.is_silent:
            raise ConnectionError  # Nothing is done and nothing is answered; the gateway writes only at its start.
        return super().write(method, target, sent)


class LeavingServer(Server):
    """A server that begins no request after it has exited, and then cuts those that it runs."""

    is_gone = False

    async def answer(self, writer, first, headers, body):
        if self.is_gone:
            reset(writer)
            return
        self.case.arrivals.append((time.monotonic(), headers.get((PREFIX + "Attempt-Id").lower()), self.name))
        await super().answer(writer, first, headers, body)

    def exit(self):
        self.is_gone = True
        self.server.close()
        for writer in list(self.connections):
            reset(writer)


async def client(case, gateway, number, answers):
    part = 0
    while not case.is_over:
        part += 1
        request = f"9c41d07b{number:04x}{part:04x}"
        try:
            reader, writer = await connect(gateway.address)
            writer.write(request_head("POST", "/puxa403/2f", request, length=5, deadline_ms=1000) + b"order")
            first, _, _ = await asyncio.wait_for(read_message(reader), 2)
            answers[request] = first.split()[1]
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
            answers[request] = None
        await asyncio.sleep(0.02)


async def play(case):
    case.store = store = SilentStore(case)
    await store.listen()
    case.arrivals, case.is_over, answers = [], False, {}
    servers = [LeavingServer(case, f"i-7f3a91c{number}", work_s=0.06) for number in range(3)]
    for server in servers:
        await server.start("carnet")
    case.configure(
        [{"name": "r-1", "host": "case.example", "path_prefix": "/puxa403/", "type": "non_idempotent",
          "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "carnet", "max_attempts": 1,
          "public": False}],
        [{"name": "carnet", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}])
    gateway = case.gateway()
    await gateway.start()
    await gateway.wait_ready()
    await case.settle()
    clients = [asyncio.create_task(client(case, gateway, number, answers)) for number in range(CLIENTS)]
    if case.trouble:
        begun = time.monotonic()
        store.is_silent, store.silences = True, store.silences + 1
        case.note("store_silent")
        while time.monotonic() < begun + MAX_SILENCE_S and not (
                time.monotonic() > begun + SILENCE_S and 0.02 < time.monotonic() - store.watched_at < 0.1):
            await asyncio.sleep(0.005)
        store.is_silent = False
        case.note("store_back", after_s=round(time.monotonic() - begun, 3))
    await asyncio.sleep(CONTACT_S + 0.02)
    left = time.monotonic()
    store.delete("servers", servers[0].name)
    case.note("entry_removed", server=servers[0].name)
    await asyncio.sleep(DRAIN_S + LONGER_S)
    servers[0].exit()
    case.note("server_exited", server=servers[0].name)
    await asyncio.sleep(2)
    case.is_over = True
    await asyncio.gather(*clients)
    late = [(at, request) for at, request, server in case.arrivals
            if server == servers[0].name and at > left + DRAIN_S]
    lost = [request for _, request in late if answers.get(request) != "200"]
    for at, request in late:
        case.note("late", request=request, after_removal_s=round(at - left, 4), answer=answers.get(request))
    case.note("counts", requests=len(answers), late=len(late), late_without_success=len(lost))
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {servers[0].name} later than {DRAIN_S} s after the store had confirmed "
            f"that it is gone, the last one after {late[-1][0] - left:.3f} s; {len(lost)} of them ran and were lost"]


Case("server leaves after an outage of the store").run(play, FOLDER)
