"""A gateway is started where the platform gives `grace_s` as a fraction, and is started again when it ends."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from fleet import Case, Server, connect, read_message, request_head  # noqa: E402

WATCHED_S = 12
RESTART_DELAY_S = 1  # of the platform: "restarted after a short delay"


class Starts:
    """Starts the gateway as the platform does, and again each time that it ends by itself."""

    def __init__(self, case, gateway):
        self.case, self.gateway, self.ends, self.address = case, gateway, 0, None

    async def run(self):
        while True:
            await self.gateway.start()
            self.address = self.gateway.address
            code = await self.gateway.process.wait()
            self.address, self.ends = None, self.ends + 1
            self.case.note("ended_by_itself", exit_code=code)
            await asyncio.sleep(RESTART_DELAY_S)


async def ask(case, starts, number):
    """Sends one request; returns whether it was served."""
    request = f"9c41d07be2a3{number:04x}"
    try:
        if starts.address is None:
            raise ConnectionRefusedError("no gateway listens")
        reader, writer = await connect(starts.address)
        writer.write(request_head("GET", "/lohu930/2f", request, deadline_ms=1000))
        first, _, _ = await asyncio.wait_for(read_message(reader), 2)
        writer.close()
        case.note("answered", request=request, status=first.split()[1])
        return first.split()[1] == "200"
    except (asyncio.IncompleteReadError, OSError, asyncio.TimeoutError) as error:
        case.note("not_answered", request=request, reason=repr(error))
        return False


async def play(case):
    await Server(case, "i-7f3a91c2").start("carnet")
    case.configure(
        [{"name": "r-1", "host": "case.example", "path_prefix": "/lohu930/", "type": "idempotent", "timeout_ms": 1000,
          "target_latency_ms": 150, "priority": 2, "service": "carnet", "max_attempts": 2, "public": False}],
        [{"name": "carnet", "health_path": "/healthz", "max_connections": 48, "protocol": "h1", "tls": False}])
    gateway = case.gateway()
    gateway.fields["bounds"]["grace_s"] = 7.5 if case.trouble else 8
    case.note("settings", bounds=gateway.fields["bounds"])
    starts = Starts(case, gateway)
    running = asyncio.create_task(starts.run())
    begun, sent, served = time.monotonic(), 0, 0
    while time.monotonic() < begun + WATCHED_S:
        await asyncio.sleep(0.25)
        sent += 1
        served += await ask(case, starts, sent)
        if running.done():
            await running  # Raises what kept the program from being started at all.
    running.cancel()
    case.note("counts", sent=sent, served=served, ended_by_itself=starts.ends)
    if served == 0 and starts.ends >= 3:
        return [f"Fault: the gateway ended by itself {starts.ends} times in {WATCHED_S} s, and none of {sent} requests was "
                "served"]
    if served == 0:
        raise RuntimeError(f"no request was served, although the gateway ended {starts.ends} times only")
    return []


Case("grace_s as a fraction").run(play, FOLDER)
