"""A request crashes each server that begins to run it, soon after its first event; its client sends it again."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2"))
from deployment import (BOUNDS, PREFIX, Server, configuration, read_message, request_bytes, reset, route, run_case)

SERVERS = 6
BACK_S = 3.0  # "the server is back after some seconds"
ATTEMPTS, INTERVAL_S = 22, 1.5
RETRIES_BOUND = 3  # "more than three retries" break the rule
CRASHING_BODY = b'{"question": "crashes"}'
EVENTS = 8


class AdviceServer(Server):
    """A sound server of streams, but for the request that crashes it after its first event."""
    arrivals, crashes = [], []

    async def run(self, writer, request, target, headers, body, echo):
        crashes = body == CRASHING_BODY and self.deployment.has_trouble
        if body == CRASHING_BODY:
            self.arrivals.append(self.record.now())
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in echo.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.record(f"{self.name}: {request} begins to run")
        for event in range(int(headers.get("last-event-id", -1)) + 1, EVENTS):
            data = f"id: {event}\ndata: {request} {event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.05)
            if crashes:
                await self.crash_and_return(request)
                return False
        writer.write(b"0\r\n\r\n")
        self.record(f"{self.name}: {request} answered completely")
        return True

    async def crash_and_return(self, request):
        """The process ends: its port is closed and its connections are reset. A new one starts some seconds later."""
        port = int(self.address.split(":")[1])
        self.record(f"{self.name}: {request} crashes it")
        self.crashes.append(self.record.now())
        self.beats.cancel()
        self.crash()
        asyncio.create_task(self.come_back(port))

    async def come_back(self, port):
        await asyncio.sleep(BACK_S)
        await self.start(port)
        self.record(f"{self.name}: is back, born {self.born}")


async def send(deployment, number, body, path="/advice/tips"):
    """One client attempt, on a new channel, with an id of its own."""
    request = deployment.new_id()
    gateway = deployment.gateways[number % len(deployment.gateways)]
    deployment.record(f"client: sends {request} to {gateway.name}, POST {path} {body.decode()}")
    try:
        reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
        writer.write(request_bytes("POST", path, request, body))
        line, headers, received = await asyncio.wait_for(read_message(reader), 8)
        writer.close()
        end = f"status {line.split()[1]}, {received.count(b'id: ')} events, complete"
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        end = f"no complete answer ({type(error).__name__})"
    deployment.record(f"client: {request} ends: {end}")


async def case(deployment, has_trouble):
    deployment.has_trouble = has_trouble
    routes = [route("tips", "advice-llm", "streaming", "/advice/", resumable=True, target_gap_ms=120)]
    servers = [AdviceServer(deployment, "advice-llm", f"i-advice-{n}") for n in range(SERVERS)]
    await deployment.start(configuration(routes, {"advice-llm": {}}), servers, ["sl-central-a"])
    for number in range(3):
        await send(deployment, number, b'{"question": "roses %d"}' % number)
    for number in range(ATTEMPTS):
        await asyncio.gather(send(deployment, number, CRASHING_BODY), asyncio.sleep(INTERVAL_S))
    arrivals, crashes = AdviceServer.arrivals, AdviceServer.crashes
    if not has_trouble:
        deployment.record(f"{len(arrivals)} arrivals of the request, no crash")
        return bool(crashes)
    bound = crashes[2] + BOUNDS["contact_ms"] / 1000
    late = [at for at in arrivals if at > bound]
    deployment.record(f"the request crashed its third server at {crashes[2]:.3f} s, {len(crashes)} in all; it reached "
                      f"servers {len(late)} times later than {bound:.3f} s; more than {RETRIES_BOUND} break BUDGET")
    return len(late) > RETRIES_BOUND


if __name__ == "__main__":
    run_case(__file__, case)
