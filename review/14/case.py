"""A request silences each server that begins to run it; the next one starts elsewhere. Its client sends it again."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2"))
from deployment import (BOUNDS, HEARTBEAT_S, MISSED_HEARTBEATS, PREFIX, Server, configuration, message, read_message,
                        request_bytes, route, run_case)

SERVERS = 18  # at most three are dark at once: a share of 0.167, `srv_crash` has 0.17
BACK_S = 4.5  # "the server is back after some seconds"; srv_crash has for_s = 4.5
ATTEMPTS, INTERVAL_S = 30, 1.6
DEADLINE_MS = 1000
RETRIES_BOUND = 3  # "more than three retries" break the rule
CRASHING_BODY = b'{"visit": "crashes"}'


class VisitServer(Server):
    """A sound server, but for the request that makes it go dark."""
    arrivals, crashes = [], []
    number = 0

    def __init__(self, deployment):
        VisitServer.number += 1
        super().__init__(deployment, "visit-app", f"i-visit-{VisitServer.number}")
        self.is_dark = False

    async def serve(self, reader, writer):
        if self.is_dark:
            await self.stay_dark()
        await super().serve(reader, writer)

    async def stay_dark(self):
        """Neither reads nor answers nor closes anything, as long as the script runs."""
        await asyncio.Event().wait()

    async def run(self, writer, request, target, headers, body, echo):
        if body == CRASHING_BODY:
            self.arrivals.append(self.record.now())
            if self.deployment.has_trouble:
                self.record(f"{self.name}: {request} begins to run, the server goes dark")
                self.crashes.append(self.record.now())
                self.is_dark = True
                self.beats.cancel()
                asyncio.create_task(self.be_replaced())
                await self.stay_dark()
        await asyncio.sleep(0.03)
        if self.is_dark:
            await self.stay_dark()
        writer.write(message(200, echo, b'{"booked": true}'))
        self.record(f"{self.name}: {request} run and answered")
        return True

    async def be_replaced(self):
        """The store removes the entry after three intervals of silence; the next lifetime has an id and address of its own."""
        await asyncio.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        await self.deployment.store.delete("servers", self.name)
        await asyncio.sleep(BACK_S - HEARTBEAT_S * MISSED_HEARTBEATS)
        successor = VisitServer(self.deployment)
        self.deployment.servers.append(successor)
        await successor.start()
        self.record(f"{self.name}: is back as {successor.name} at {successor.address}")


async def send(deployment, body):
    """One client attempt, on a new channel, with an id of its own."""
    request = deployment.new_id()
    gateway = deployment.gateways[0]
    deployment.record(f"client: sends {request} to {gateway.name}, POST /visits/book {body.decode()}")
    try:
        reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
        writer.write(request_bytes("POST", "/visits/book", request, body, DEADLINE_MS))
        line, _, _ = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000 + 0.5)
        writer.close()
        end = f"status {line.split()[1]}"
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        end = f"no complete answer ({type(error).__name__})"
    deployment.record(f"client: {request} ends: {end}")
    return end


async def case(deployment, has_trouble):
    deployment.has_trouble = has_trouble
    routes = [route("book", "visit-app", "non_idempotent", "/visits/", timeout_ms=DEADLINE_MS, target_latency_ms=150)]
    servers = [VisitServer(deployment) for _ in range(SERVERS)]
    await deployment.start(configuration(routes, {"visit-app": {}}), servers, ["sl-central-a"])
    for number in range(3):
        await send(deployment, b'{"visit": %d}' % number)
    for _ in range(ATTEMPTS):
        await asyncio.gather(send(deployment, CRASHING_BODY), asyncio.sleep(INTERVAL_S))
    arrivals, crashes = VisitServer.arrivals, VisitServer.crashes
    if not has_trouble:
        deployment.record(f"{len(arrivals)} arrivals of the request, no crash")
        return bool(crashes)
    if len(crashes) < 3:
        deployment.record(f"the request crashed {len(crashes)} servers")
        return False
    bound = crashes[2] + BOUNDS["contact_ms"] / 1000
    late = [at for at in arrivals if at > bound]
    deployment.record(f"the request crashed its third server at {crashes[2]:.3f} s, {len(crashes)} in all; it reached "
                      f"servers {len(late)} times later than {bound:.3f} s; more than {RETRIES_BOUND} break BUDGET")
    return len(late) > RETRIES_BOUND


if __name__ == "__main__":
    run_case(__file__, case)
