"""The registration of a server gets no answer and is executed seconds later, after the server has left."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2"))
from deployment import BOUNDS, HEARTBEAT_S, Server, configuration, message, read_message, request_bytes, route, run_case

LATE_S = 5.9  # platform_lost, late: "done 1 to 6 s later"
REPEAT_S = 0.5  # the server registers once more after this time without an answer
LIFE_S = 3.7  # from the lost call to the removal: contact_ms and 0.2 s after the repeated registration
SERVING_ON_S = 8.0  # after its removal, "at times many seconds"
CLIENTS = 12


class VisitServer(Server):
    """A sound server of a plain service."""

    async def run(self, writer, request, target, headers, body, echo):
        self.deployment.arrivals.append((self.record.now(), self.name))
        await asyncio.sleep(0.03)
        writer.write(message(200, echo, b'{"booked": true}'))
        return True


class LateServer(VisitServer):
    """A server that is added; the first of its registrations gets no answer. It leaves without reporting `draining`."""
    removed_at = None

    async def start(self, port=0):
        loop_time = asyncio.get_running_loop().time
        started = loop_time()
        self.born = int(time.time() * 1000)
        await self.listen(port)
        first = self.entry()
        if self.deployment.has_trouble:
            self.record(f"{self.name}: registers with sequence 1, gets no answer")
            asyncio.create_task(self.execute_late(first))
            await asyncio.sleep(REPEAT_S)
        await self.deployment.store.put("servers", self.name, self.entry())
        self.beats = asyncio.create_task(self.beat())
        await asyncio.sleep(started + LIFE_S - loop_time())
        self.beats.cancel()
        await self.deployment.store.delete("servers", self.name)
        self.removed_at = self.record.now()
        self.record(f"{self.name}: its entry is removed; it serves on for {SERVING_ON_S} s")
        await asyncio.sleep(SERVING_ON_S)
        self.crash()
        self.record(f"{self.name}: has ended")

    async def execute_late(self, entry):
        """A call that creates an object: it is executed if there is none."""
        await asyncio.sleep(LATE_S)
        if ("servers", self.name) not in self.deployment.store.objects:
            self.record(f"store: executes the first registration of {self.name} now")
            await self.deployment.store.put("servers", self.name, entry)
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self.deployment.store.delete("servers", self.name)


async def client(deployment, number):
    gateway = deployment.gateways[number % len(deployment.gateways)]
    writer = None
    while not deployment.is_over:
        request = deployment.new_id()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
            writer.write(request_bytes("POST", "/visits/book", request, b'{"visit": 1}', 1000))
            line, headers, _ = await asyncio.wait_for(read_message(reader), 1.5)
            deployment.answers[line.split()[1]] = deployment.answers.get(line.split()[1], 0) + 1
            if headers.get("connection", "").lower() == "close":
                writer.close()
                writer = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
            deployment.record(f"client: {request} has no answer ({type(error).__name__})")
            writer = None
        await asyncio.sleep(0.05)


async def case(deployment, has_trouble):
    deployment.has_trouble, deployment.is_over = has_trouble, False
    deployment.arrivals, deployment.answers = [], {}
    routes = [route("book", "visit-app", "non_idempotent", "/visits/", timeout_ms=1000, target_latency_ms=150)]
    servers = [VisitServer(deployment, "visit-app", f"i-visit-{n}") for n in range(3)]
    await deployment.start(configuration(routes, {"visit-app": {}}), servers, ["sl-central-a", "sl-central-b"])
    clients = [asyncio.create_task(client(deployment, number)) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    added = LateServer(deployment, "visit-app", "i-visit-added")
    deployment.servers.append(added)
    await added.start()
    deployment.is_over = True
    await asyncio.gather(*clients)
    bound = added.removed_at + BOUNDS["drain_ms"] / 1000
    at_added = [at for at, name in deployment.arrivals if name == added.name]
    late = [at for at in at_added if at > bound]
    for at in late:
        deployment.record(f"a request reached {added.name} at {at:.3f} s, {at - added.removed_at:.3f} s after its removal")
    deployment.record(f"answers {deployment.answers}; {len(at_added)} requests reached {added.name}, {len(late)} of them "
                      f"later than drain_ms after its removal at {added.removed_at:.3f} s; one breaks DRAIN")
    return bool(late)


if __name__ == "__main__":
    run_case(__file__, case)
