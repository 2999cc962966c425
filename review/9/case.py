"""A server reports that it drains; a heartbeat that it had sent before, and that got no answer, is executed later."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2"))
from deployment import (BOUNDS, HEARTBEAT_S, PREFIX, Server, configuration, message, read_message, request_bytes, route, run_case)

DRAIN_S = BOUNDS["drain_ms"] / 1000
LATE_S = 5.0  # "done 1 to 6 s later"
STABLE_S = BOUNDS["contact_ms"] / 1000 + 0.1  # from the lost answer to the report, so that the store is stable
SERVES_ON_S = 4.0  # "a little longer (at times many seconds)" than drain_ms
REQUEST_INTERVAL_S = 0.04


class VisitServer(Server):
    """A sound server."""
    draining_since = None  # When the store accepted the report.
    late_arrivals = []

    async def run(self, writer, request, target, headers, body, echo):
        now = self.record.now()
        if self.draining_since is not None and now > self.draining_since + DRAIN_S:
            self.record(f"{self.name}: {request} arrives {now - self.draining_since:.3f} s after the report of draining")
            self.late_arrivals.append(request)
        await asyncio.sleep(0.01)
        writer.write(message(201, echo, b"booked " + request.encode()))
        self.record(f"{self.name}: {request} runs, answered with 201")
        return True

    marked = None  # Set while one heartbeat is to be marked; its result is when that heartbeat was sent.

    async def beat(self):
        """Writes the entry every heartbeat. The marked one gets no answer, and the server goes on with the next."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            is_marked = self.marked is not None and not self.marked.done()
            if is_marked:
                self.marked.set_result(self.record.now())
            if is_marked and self.deployment.has_trouble:
                asyncio.create_task(self.lose_answer_of_heartbeat(self.entry()))
            else:
                await self.write_entry()

    async def lose_answer_of_heartbeat(self, sent):
        """The store executes the heartbeat later."""
        self.record(f"{self.name}: heartbeat {sent['sequence']} ({sent['state']}) gets no answer")
        await asyncio.sleep(LATE_S)
        self.record(f"store: executes heartbeat {sent['sequence']} of {self.name} now")
        await self.deployment.store.put("servers", self.name, sent)

    async def drain(self):
        """Reports that it drains, serves on for the stated time and a little longer, and ends."""
        self.state = "draining"
        await self.write_entry()
        self.draining_since = self.record.now()
        self.record(f"{self.name}: the store has accepted the report of draining")
        await asyncio.sleep(DRAIN_S + SERVES_ON_S)
        self.beats.cancel()
        await self.deployment.store.delete("servers", self.name)
        self.crash()
        self.record(f"{self.name}: has ended")


async def book(deployment, number):
    request = deployment.new_id()
    gateway = deployment.gateways[number % len(deployment.gateways)]
    try:
        reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
        writer.write(request_bytes("POST", "/visits/book", request, b'{"visit": %d}' % number, deadline_ms=1000))
        line, _, _ = await asyncio.wait_for(read_message(reader), 2)
        writer.close()
        end = line.split()[1]
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        end = type(error).__name__
    deployment.record(f"client: {request} through {gateway.name} ends: {end}")


async def clients(deployment, end):
    tasks, number = [], 0
    while deployment.record.now() < end:
        tasks.append(asyncio.create_task(book(deployment, number)))
        number += 1
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)


async def case(deployment, has_trouble):
    deployment.has_trouble = has_trouble
    routes = [route("book", "visit-app", "non_idempotent", "/visits/", timeout_ms=1000, target_latency_ms=150)]
    servers = [VisitServer(deployment, "visit-app", f"i-visit-{n}") for n in range(3)]
    await deployment.start(configuration(routes, {"visit-app": {}}), servers, ["sl-central-a", "sl-central-b"])
    leaving = servers[0]
    traffic = asyncio.create_task(clients(deployment, deployment.record.now() + HEARTBEAT_S + STABLE_S + DRAIN_S + SERVES_ON_S + 1))
    leaving.marked = asyncio.get_running_loop().create_future()
    sent_at = await leaving.marked
    await asyncio.sleep(sent_at + STABLE_S - deployment.record.now())
    await leaving.drain()
    await traffic
    count = len(VisitServer.late_arrivals)
    deployment.record(f"{count} requests reached the server later than {DRAIN_S} s after the store had accepted that it "
                      "drains; one breaks DRAIN")
    return count > 0


if __name__ == "__main__":
    run_case(__file__, case)
