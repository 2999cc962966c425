"""A request crashes each server that begins to run it and comes again at any of four gateways, beside a plain service."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "stand-ins-2"))
from deployment import BOUNDS, Server, configuration, message, read_message, request_bytes, route, run_case

ZONES = ["sl-central-a", "sl-central-a", "sl-central-b", "sl-central-c"]  # "4 edge in 3 zones"
SERVERS = 3  # `visit-app`: 3 servers
BACK_S = 3.0  # "the server is back after some seconds"
ATTEMPTS, INTERVAL_S = 20, 4.0
DEADLINE_MS = 1000
RETRIES_BOUND = 3  # "more than three retries" break the rule
CRASHING_BODY = b'{"visit": "crashes"}'


class VisitServer(Server):
    """A sound server, but for the request that crashes it."""
    arrivals, crashes = [], []

    async def run(self, writer, request, target, headers, body, echo):
        if body == CRASHING_BODY:
            self.arrivals.append(self.record.now())
            if self.deployment.has_trouble:
                self.crash_and_return(request)
                return False
        await asyncio.sleep(0.03)
        writer.write(message(200, echo, b'{"booked": true}'))
        self.record(f"{self.name}: {request} run and answered")
        return True

    def crash_and_return(self, request):
        """The process ends: its port is closed and its connections are reset. A new one starts some seconds later."""
        port = int(self.address.split(":")[1])
        self.record(f"{self.name}: {request} begins to run and crashes it")
        self.crashes.append(self.record.now())
        self.beats.cancel()
        self.crash()
        asyncio.create_task(self.come_back(port))

    async def come_back(self, port):
        await asyncio.sleep(BACK_S)
        await self.start(port)
        self.record(f"{self.name}: is back, born {self.born}")


async def send(deployment, number, body):
    """One client attempt, on a new channel, with an id of its own."""
    request = deployment.new_id()
    gateway = deployment.gateways[number % len(deployment.gateways)]
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


async def case(deployment, has_trouble):
    deployment.has_trouble = has_trouble
    routes = [route("book", "visit-app", "non_idempotent", "/visits/", timeout_ms=DEADLINE_MS, target_latency_ms=150)]
    servers = [VisitServer(deployment, "visit-app", f"i-visit-{n}") for n in range(SERVERS)]
    await deployment.start(configuration(routes, {"visit-app": {}}), servers, ZONES)
    for number in range(4):
        await send(deployment, number, b'{"visit": %d}' % number)
    for number in range(ATTEMPTS):
        await asyncio.gather(send(deployment, number, CRASHING_BODY), asyncio.sleep(INTERVAL_S))
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
