"""A faulty server spoils the id of an event; the event before it arrives in the same chunk."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-ins-2"))
from deployment import (PREFIX, Server, configuration, read_message, request_bytes, route, run_case)

EVENTS, SPOILED_EVENT = 8, 5
CLIENTS = 10
WARM_S = 11.0  # A gateway that has just started repeats little.
FAULTY_S = 5.0
SERVERS, FAULTY = 4, 2  # a share of 0.5
SPOILED_SHARE = 0.05


def event(number, spoiled=False):
    """An event; the id of a spoiled one has a wrong digit before it."""
    return f"id: {'9' if spoiled else ''}{number}\ndata: word {number}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class AdviceServer(Server):
    """For some seconds, two of four servers spoil one in twenty of their streams; the others are sound."""
    spoiled = set()

    async def run(self, writer, request, target, headers, body, echo):
        last = headers.get("last-event-id")
        first = 0 if last is None else int(last) + 1
        spoils = (self.deployment.has_trouble and int(self.name.split("-")[-1]) < FAULTY and last is None and
                  0 < self.record.now() - self.deployment.trouble_from < FAULTY_S and
                  self.deployment.random.random() < SPOILED_SHARE)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in echo.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.record(f"{self.name}: {request} runs from event {first}{', and spoils it' if spoils else ''}")
        for number in range(first, EVENTS):
            if spoils and number == SPOILED_EVENT - 1:
                self.spoiled.add(request)
                writer.write(chunk(event(number) + event(number + 1, spoiled=True)))
                self.record(f"{self.name}: {request} events {number} and {number + 1} in one chunk, the id of the latter is "
                            "spoiled")
            elif not spoils or number != SPOILED_EVENT:
                writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return True


async def client(deployment, end, wrong):
    reader = writer = None
    while deployment.record.now() < end:
        request = deployment.new_id()
        if writer is None:
            reader, writer = await asyncio.open_connection(*deployment.gateways[0].address.split(":"))
        writer.write(request_bytes("POST", "/advice/tips", request, b'{"question": "%s"}' % request.encode()))
        try:
            line, headers, received = await asyncio.wait_for(read_message(reader), 8)
            words = [int(text.split()[-1]) for text in received.decode().split("\n") if text.startswith("data:")]
            status, complete = int(line.split()[1]), True
        except (asyncio.IncompleteReadError, ConnectionError):
            status, words, complete = 0, [], False
        if not complete or headers.get("connection", "").lower() == "close":
            writer.close()
            writer = None
        if status == 200 and words != list(range(EVENTS)):
            wrong.append(request)
        if request in AdviceServer.spoiled or (status == 200 and words != list(range(EVENTS))):
            deployment.record(f"client: {request} ends: status {status}, {'complete' if complete else 'not complete'}, "
                              f"pieces {words}")
        await asyncio.sleep(0.05)
    if writer is not None:
        writer.close()


async def case(deployment, has_trouble):
    deployment.has_trouble, deployment.random = has_trouble, random.Random(6)
    deployment.trouble_from = float("inf")
    routes = [route("tips", "advice-llm", "streaming", "/advice/", resumable=True, target_gap_ms=120)]
    servers = [AdviceServer(deployment, "advice-llm", f"i-advice-{n}") for n in range(SERVERS)]
    await deployment.start(configuration(routes, {"advice-llm": {}}), servers, ["sl-central-a"])
    deployment.trouble_from = deployment.record.now() + WARM_S
    wrong = []
    end = deployment.trouble_from + FAULTY_S + 1
    await asyncio.gather(*[client(deployment, end, wrong) for _ in range(CLIENTS)])
    deployment.record(f"{len(AdviceServer.spoiled)} streams were spoiled; {len(wrong)} streams ended as complete without "
                      "all pieces in order; one breaks ORDER")
    return bool(wrong)


if __name__ == "__main__":
    run_case(__file__, case)
