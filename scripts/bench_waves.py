"""Measures of running daemons under closed-loop callers: rolling restarts,
a flooding account, and a failure domain that is cut off."""
import collections
import http.client
import json
import signal
import threading
import time


class Callers:
    """Threads that each send one streamed completion after the other."""

    def __init__(self, balancer, key, count, tokens, prompt="when do I water"):
        self.balancer, self.key, self.tokens, self.prompt = balancer, key, tokens, prompt
        self.latencies, self.cut, self.refused, self.delivered = [], 0, 0, 0
        self.errors = collections.Counter()
        self.running = True
        self.threads = [threading.Thread(target=self.work, args=(i,)) for i in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        return self

    def work(self, number):
        turn = number
        while self.running:
            turn += 1
            self.call(turn)

    def call(self, turn):
        address = self.balancer(turn)
        connection = http.client.HTTPConnection(address, timeout=60)
        try:
            connection.connect()
        except OSError:
            return  # A balancer tries another entry; nothing was sent.
        began = time.time()
        try:
            connection.request("POST", "/v1/completions", json.dumps(
                {"model": "bench", "prompt": f"{self.prompt} {turn}", "max_tokens": self.tokens,
                 "stream": True}), {"Authorization": f"Bearer {self.key}"})
            answer = connection.getresponse()
            body = answer.read().decode()
        except (OSError, http.client.HTTPException):
            self.cut += 1
            return
        finally:
            connection.close()
        if answer.status != 200:
            self.refused += 1
            self.errors[answer.getheader("Laburnum-Error")] += 1
            time.sleep(0.05)
            return
        whole = "data: [DONE]" in body
        self.cut += 0 if whole else 1
        if whole:
            self.latencies.append(time.time() - began)
            self.delivered += self.tokens

    def p95(self):
        ordered = sorted(self.latencies)
        return ordered[int(0.95 * (len(ordered) - 1))]


def model_fleet(live, fleet, domains, entries, engines, options=()):
    """Starts engines with agents, and entries, in each of some domains."""
    for domain in domains:
        for i in range(engines):
            engine, _ = fleet.standin("engine", *options)
            start_agent(fleet, f"agent-{domain}{i}", domain, engine)
    for domain in domains:
        for i in range(entries):
            fleet.daemon(f"entry-{domain}{i}", "entry", domain)
    for domain in domains:
        for i in range(entries):
            fleet.await_agents(f"entry-{domain}{i}", engines)


def start_agent(fleet, name, domain, engine, peers=()):
    return fleet.daemon(name, "agent", domain, {"kind": "engine", "address": engine,
                                                "offers": ["bench@1"], "slots": 8}, peers)


def account(live, fleet, name, share=1):
    fleet.apply("contract", {"account": name, "share": share, "rate": 100000, "burst": 100000,
                             "models": [{"name": "bench"}], "keys": [live.label(name)]})
    fleet.rollout("contract", name)


def rolling(live, how):
    """Replaces every entry and agent under load; returns the callers."""
    with live.Fleet() as fleet:
        names, processes = [], {}
        for domain in "ab":
            for i in range(2):
                engine, _ = fleet.standin("engine")
                name = f"agent-{domain}{i}"
                processes[name] = (start_agent(fleet, name, domain, engine), "agent", domain, engine)
        for i in range(3):
            name = f"entry-{i}"
            processes[name] = (fleet.daemon(name, "entry", "a"), "entry", "a", None)
            names.append(name)
        for name in names:
            fleet.await_agents(name, 4)
        account(live, fleet, "caller")
        ready = {}

        def balance():
            while not stopped.is_set():
                for name in names:
                    try:
                        fleet.get(fleet.address(name, "operators"), "/readyz")
                        ready[name] = fleet.address(name, "callers")
                    except (OSError, RuntimeError):
                        ready.pop(name, None)
                time.sleep(0.05)

        def choose(turn):
            while True:
                addresses = list(ready.values())
                if addresses:
                    return addresses[turn % len(addresses)]
                time.sleep(0.02)

        stopped = threading.Event()
        balancer = threading.Thread(target=balance)
        balancer.start()
        callers = Callers(choose, "caller", 12, 40)
        time.sleep(1)
        for name, (process, role, domain, engine) in processes.items():
            process.send_signal(how)
            process.wait(timeout=60)
            if role == "agent":
                start_agent(fleet, name, domain, engine)
            else:
                fleet.daemon(name, role, domain)
            for _ in range(500):
                try:
                    fleet.get(fleet.address(name, "operators"), "/readyz")
                    break
                except OSError:
                    time.sleep(0.02)
            time.sleep(0.5)
        callers.stop()
        stopped.set()
        balancer.join()
        return callers


def restart(live):
    """Rolling replacement of all daemons, against killing them."""
    planned = rolling(live, signal.SIGTERM)
    killed = rolling(live, signal.SIGKILL)
    live.add("restart.cut_requests", "count", planned.cut, 0, "at_most", baseline=killed.cut,
             experiment="restart")
    print("refusals:", dict(planned.errors), "when killed:", dict(killed.errors))
    live.add("restart.refused_requests", "count", planned.refused, experiment="restart",
             baseline=killed.refused)
    live.add("restart.whole_requests", "count", len(planned.latencies), experiment="restart")


def flood(live, fleet, entry, seconds):
    """A victim within its share, alone and beside a flood; the ratio of p95."""
    address = fleet.address(entry, "callers")
    alone = Callers(lambda _: address, "victim", 2, 20)
    time.sleep(seconds)
    alone.stop()
    noise = Callers(lambda _: address, "noise", 60, 20)
    time.sleep(1)
    beside = Callers(lambda _: address, "victim", 2, 20)
    time.sleep(seconds)
    beside.stop()
    noise.stop()
    return beside.p95() / alone.p95()


def fair(live):
    """One account floods; four accounts with unequal shares all flood."""
    with live.Fleet() as fleet:
        model_fleet(live, fleet, "a", 1, 2)
        shares = {"victim": 1, "noise": 1, "large": 3, "small": 1}
        for name, share in shares.items():
            account(live, fleet, name, share)
        ours = flood(live, fleet, "entry-a0", 8)
        address = fleet.address("entry-a0", "callers")
        groups = {name: Callers(lambda _: address, name, 16, 20) for name in shares}
        time.sleep(2)
        before = {name: group.delivered for name, group in groups.items()}
        time.sleep(10)
        parts = [(group.delivered - before[name]) / shares[name] for name, group in groups.items()]
        for group in groups.values():
            group.stop()
        jain = sum(parts) ** 2 / (len(parts) * sum(part ** 2 for part in parts))
        fleet.apply("policy", {"queue": "fcfs", "admission": False})
        fleet.rollout("policy", "policy")
        baseline = flood(live, fleet, "entry-a0", 8)
    live.add("live.fair.victim_p95_ratio", "ratio", ours, 1.2, "at_most", baseline=baseline)
    live.add("live.fair.jain", "index", jain, 0.99, "at_least")


def cutoff(live):
    """A domain without the platform and without the others, and an entry that
    starts in it from its peers alone."""
    with live.Fleet() as fleet:
        model_fleet(live, fleet, "ab", 1, 2)
        account(live, fleet, "caller")
        peers = [fleet.address(f"agent-a{i}", "control") for i in range(2)]
        for process in list(fleet.processes):
            arguments = " ".join(process.args)
            other = "-b" in arguments or "standin platform" in arguments
            if other:
                process.kill()
                process.wait()
        time.sleep(4)
        fleet.daemon("entry-a9", "entry", "a", peers=peers)
        fleet.await_agents("entry-a9", 2)
        address = fleet.address("entry-a9", "callers")
        callers = Callers(lambda _: address, "caller", 40, 40)
        time.sleep(2)
        before = callers.delivered
        time.sleep(12)
        rate = (callers.delivered - before) / 12
        callers.stop()
        # Two engines of 8 sequences, with steps of 18 ms and 0.25 ms a sequence.
        capacity = 2 * 8 / 0.020
        live.add("cutoff.goodput_share", "share", rate / capacity, 0.95, "at_least",
                 experiment="cutoff")
        live.add("cutoff.cut_requests", "count", callers.cut, 0, "at_most", experiment="cutoff")
