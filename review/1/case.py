"""Stewards keep the expert map of a group with little traffic, while engines leave a few orders unanswered."""
import asyncio
import json
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from fleet import Case, Daemon, Listener, message, read_message  # noqa: E402

RANKS, LAYER_SETS, EXPERTS, PLACEMENTS, STANDBY = 4, 2, 8, 5, 2
PASS_S = 0.03  # of a pass while requests are there; an idle group makes no passes
COPY_S = 0.11  # 2,500 MB over 180,000 Mbit/s
PICKS = [40, 2]  # per pass and set, of the popular expert and of any other one
MIN_LATE_S, MAX_LATE_S = 2, 12  # `fleetbench kinds`: "gets no answer and is carried out 2 to 12 s later"
MAX_UNANSWERED = 4  # of about 30 orders; the site's list of troubles has a share of 0.35
GROUP, SERVICE = "g-1", "scribe"


class Engine(Listener):
    """One rank of the group; it takes orders as PROTOCOL.md says."""

    def __init__(self, group, rank):
        super().__init__(f"127.0.0.{10 + rank}")
        self.group, self.rank, self.version, self.highest, self.sequence = group, rank, 0, 0, 0
        self.experts = [[e for e in range(EXPERTS) if e % RANKS == rank] for _ in range(LAYER_SETS)]
        self.copying = self.prepared = self.armed = self.held = None
        self.map = "map 0"  # In force, of all ranks.
        self.counts, self.born = [0] * (LAYER_SETS * EXPERTS), int(time.time() * 1000)

    def report(self):
        return {
            "phase": "combined", "model_list": [{"name": "m", "version": 1, "adapter_list": []}], "busy": False,
            "sequence": self.sequence, "queued": 0, "active": 1 if self.group.work else 0, "kv_usage": 0,
            "kv_capacity": 280000, "handle_list": 0, "born": self.born, "size": RANKS, "pace": 1.0,
            "group": {"name": GROUP, "epoch": 1, "rank": self.rank, "state": "open"}, "step": self.group.step,
            "mapping": self.version, "preloaded": self.prepared[0] if self.prepared else None,
            "enabled": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None, "held": self.held}

    def picked(self, lists):
        if lists:
            prepared = {"version": self.prepared[0], "experts": self.prepared[1]} if self.prepared else None
            return {"mapping": {"version": self.version, "experts": self.experts}, "preloaded": prepared}
        return {"step": self.group.step, "epoch": 1, "counts": self.counts}

    def carry_out(self, order):
        """Carries out an order; returns the status of its answer."""
        kind, step, version = order["operation"], order.get("step"), order.get("version")
        begun = self.group.step
        if order.get("epoch", 1) != 1:
            return 409
        if kind == "prepare":
            mapping = [ranks[self.rank] for ranks in order["mapping"]]
            new = max(len(set(after) - set(before)) for after, before in zip(mapping, self.experts))
            if version <= self.highest or self.armed or new > STANDBY:
                return 409
            self.highest, self.copying = version, version
            asyncio.get_running_loop().call_later(COPY_S if new else 0, self.copied, version, mapping,
                                                      json.dumps(order["mapping"]))
        elif kind == "arm":
            if self.armed == (version, step):
                return 200
            if not self.prepared or self.prepared[0] != version or step <= begun:
                return 409
            self.armed = (version, step)
        elif kind == "disarm":
            if version == self.version and version != 0:
                return 409
            if not self.armed or self.armed[0] != version:
                return 200
            self.armed = None
        elif kind == "retain":
            if self.held == step:
                return 200
            if step <= begun or self.held is not None:
                return 409
            self.held = step
        elif kind == "go":
            if self.held != step:
                return 200
            self.held = None
            self.group.wake.set()
        else:
            return 400
        self.sequence += 1
        return 202

    def copied(self, version, mapping, whole):
        if self.copying == version:
            self.copying, self.prepared = None, (version, mapping, whole)

    def begin_pass(self, step):
        if self.armed and self.armed[1] <= step:
            self.version, self.experts, self.map = self.prepared
            self.prepared = self.armed = None

    async def serve(self, reader, writer):
        while True:
            first, _, body = await read_message(reader)
            method, target = first.split()[:2]
            status, answer = 200, {}
            if method == "POST":
                order = json.loads(body)
                told = {name: value for name, value in order.items() if name != "mapping"}
                if self.group.script.leaves_unanswered(self, order):
                    self.group.case.note("order_unanswered", rank=self.rank, **told)
                    sent = time.monotonic()
                    await self.group.script.lateness(self, order, sent)
                    status = self.carry_out(order)
                    self.group.case.note("order_late", rank=self.rank, status=status,
                                         after_s=round(time.monotonic() - sent, 3), **told)
                    return  # Without an answer.
                status = self.carry_out(order)
                self.group.case.note("order", rank=self.rank, status=status, **told)
                self.group.script.carried_out(self, order, status)
            else:
                answer = self.picked("lists" in target) if target.startswith("/picked") else self.report()
            writer.write(message(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
            await writer.drain()


class Group:
    """The ranks, which execute each pass together."""

    def __init__(self, case):
        self.case, self.step, self.work, self.wake, self.mixed = case, 0, 0, asyncio.Event(), []
        self.engines, self.script = [Engine(self, rank) for rank in range(RANKS)], None

    def request(self, passes):
        """A request arrives that takes this number of passes."""
        self.case.note("request", passes=passes, step=self.step)
        self.work += passes
        self.wake.set()

    def may_begin(self):
        return self.work > 0 and all(e.held is None or e.held > self.step + 1 for e in self.engines)

    async def run(self):
        while True:
            while not self.may_begin():
                self.wake.clear()
                await self.wake.wait()
            self.step += 1
            for engine in self.engines:
                engine.begin_pass(self.step)
                for index in range(LAYER_SETS * EXPERTS):
                    engine.counts[index] += PICKS[index % EXPERTS != self.script.popular]
            maps = {(engine.version, engine.map) for engine in self.engines}
            versions = [engine.version for engine in self.engines]
            if len(maps) > 1:
                self.mixed.append(f"MAP: pass {self.step} began with the map versions {versions}")
            self.case.note("pass", step=self.step, versions=versions, different_maps=len(maps))
            await asyncio.sleep(PASS_S)
            self.work = max(0, self.work - 1)


class Script:
    """What the clients ask for, and which orders the engines leave unanswered."""

    def __init__(self, case, group):
        self.case, self.group, self.popular = case, group, 0
        self.first_hold = self.second_hold = self.first_release = None
        self.is_held_again, self.orders, self.late = asyncio.Event(), 0, 0
        self.change_begun, self.released = asyncio.Event(), asyncio.Event()

    def leaves_unanswered(self, engine, order):
        self.orders += 1
        is_late = self.case.trouble and self.choose(engine, order)
        self.late += is_late
        return is_late

    def choose(self, engine, order):
        kind = order["operation"]
        if kind == "retain" and self.first_hold is None:
            self.first_hold = order["step"]  # The first hold of the first change.
            return True
        if kind == "go" and order["step"] == self.second_hold and self.first_release is None:
            self.first_release = order["step"]  # The first release of the same change.
            return True
        # Up to two orders to arm at one rank in the second change.
        return (kind == "arm" and self.is_held_again.is_set() and engine.rank == RANKS - 1 and
                self.late < MAX_UNANSWERED)

    async def lateness(self, engine, order, sent):
        """Waits until an unanswered order is carried out, 2 to 12 s after it was sent."""
        if order["operation"] == "go":
            while time.monotonic() < sent + MAX_LATE_S - 0.1 and not (
                    time.monotonic() > sent + MIN_LATE_S and self.is_held_again.is_set() and
                    any(e.armed for e in self.group.engines)):
                await asyncio.sleep(0.001)
        else:
            await asyncio.sleep(MIN_LATE_S + 0.5)

    def carried_out(self, engine, order, status):
        kind, step = order["operation"], order.get("step")
        if kind == "prepare":
            self.change_begun.set()
        if kind == "retain" and status == 202:
            if self.second_hold is None:
                self.second_hold = step
            elif step == self.second_hold:
                self.is_held_again.set()
        if kind == "go":
            self.released.set()


def free_port(hosts):
    """Returns a port that is free at each of the addresses."""
    while True:
        sockets = [socket.socket() for _ in hosts]
        try:
            sockets[0].bind((hosts[0], 0))
            port = sockets[0].getsockname()[1]
            for sock, host in zip(sockets[1:], hosts[1:]):
                sock.bind((host, port))
            return port
        except OSError:
            continue  # In use at one of the addresses.
        finally:
            for sock in sockets:
                sock.close()


async def play(case):
    group = Group(case)
    script = group.script = Script(case, group)
    for engine in group.engines:
        await engine.listen()
        case.store.put("servers", f"i-{engine.rank}", {
            "service": SERVICE, "address": engine.address, "zone": "zone-a", "version": 1, "slots": 12,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": engine.born})
    case.configure([], [{"name": SERVICE, "health_path": "/healthz", "max_connections": 178, "runtime": {
        "slots": 12, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
        "read_per_s": 61400.0, "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 97},
        "layer_sets": LAYER_SETS, "experts": EXPERTS, "placements": PLACEMENTS, "standby": STANDBY,
        "expert_size_mb": 2500.0, "link_mbps": 180000.0, "expert_ratio": 0.85, "form_ms": 600.0}}])
    port = free_port([engine.host for engine in group.engines])
    passes = asyncio.create_task(group.run())
    for engine in group.engines:
        await case.daemon("steward", f"side-a-{engine.rank}", ip=engine.host, internal_ports=[port, port],
                          app=engine.address, service=SERVICE, limits={"link_mbps": 20}).start()
    # Traffic until the keeper begins a change of the map.
    end = time.monotonic() + 20
    while not script.change_begun.is_set():
        if time.monotonic() > end:
            raise RuntimeError("the stewards changed no map")
        if group.work < 2:
            group.request(4)
        await asyncio.sleep(0.02)
    group.work = min(group.work, 1)
    await asyncio.wait_for(script.released.wait(), 10)
    await asyncio.sleep(1)
    if case.trouble:
        # A short request, then none for a while.
        if passes_left := script.first_hold - 1 - group.step:
            group.request(passes_left)
        try:
            await asyncio.wait_for(script.is_held_again.wait(), 12)
            group.request(8)
        except asyncio.TimeoutError:
            case.note("not_held_again")
    else:
        group.request(3)
        await asyncio.sleep(4)
        group.request(8)
    await asyncio.sleep(4)
    passes.cancel()
    case.note("orders", sent=script.orders, unanswered=script.late)
    return group.mixed


Case("late orders in a quiet group").run(play, FOLDER)
