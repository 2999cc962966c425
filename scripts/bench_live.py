#!/usr/bin/env python3
"""Measures running daemons on free loopback ports and adds to the report.

usage: bench_live.py BUILD REPORT SEED [path|trace|fair|restart|cutoff|control ...]
"""
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request
from hashlib import sha256

import bench_waves

BUILD, REPORT, SEED = sys.argv[1], sys.argv[2], int(sys.argv[3])
PARTS = sys.argv[4:] or ["path", "trace", "fair", "restart", "cutoff", "control"]
TICKS = os.sysconf("SC_CLK_TCK")


class Fleet:
    """Stand-ins and daemons of one measurement."""

    def __init__(self):
        self.work = tempfile.mkdtemp()
        self.processes = []

    def __enter__(self):
        self.platform, _ = self.standin("platform")
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        subprocess.run(["rm", "-rf", self.work], check=True)

    def standin(self, kind, *options):
        process = subprocess.Popen([f"{BUILD}/standins/laburnum-standin", kind, *options],
                                   stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process.stdout.readline().strip(), process

    def daemon(self, name, role, domain, server=None, peers=()):
        settings = {"instance": name, "role": role, "failure_domain": domain,
                    "platform": [self.platform], "peers": list(peers),
                    "limits": {"drain_grace_ms": 1000}}
        if server:
            settings["server"] = server
        path = f"{self.work}/{name}.json"
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(f"{self.work}/{name}.log", "w")
        process = subprocess.Popen([f"{BUILD}/apps/laburnumd", "--settings", path], stderr=log)
        self.processes.append(process)
        return process

    def address(self, name, field):
        pattern = re.compile(f'"{field}":"([^"]*)"')
        for _ in range(500):
            with open(f"{self.work}/{name}.log") as file:
                found = pattern.findall(file.read())
            if found:
                return found[-1]
            time.sleep(0.02)
        raise RuntimeError(f"{name} does not tell its {field}")

    def get(self, address, path):
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
            return answer.read().decode()

    def status(self, name):
        return json.loads(self.get(self.address(name, "operators"), "/status"))

    def apply(self, kind, value):
        path = f"{self.work}/object.json"
        with open(path, "w") as file:
            json.dump(value, file)
        subprocess.run([f"{BUILD}/apps/laburnumctl", "--platform", self.platform, kind, "apply", path],
                       check=True, stdout=subprocess.DEVNULL)

    def rollout(self, kind, name):
        subprocess.run([f"{BUILD}/apps/laburnumctl", "--platform", self.platform, "rollout", "--wait",
                        kind, name], check=True, stdout=subprocess.DEVNULL)

    def await_agents(self, entry, count):
        for _ in range(500):
            if self.status(entry)["agents"] >= count:
                return
            time.sleep(0.02)
        raise RuntimeError(f"{entry} does not reach {count} agents")


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(process):
    with open(f"/proc/{process.pid}/status") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024


def label(key):
    return "sha256:" + sha256(key.encode()).hexdigest()


def add(name, unit, value, bound=None, goal="none", baseline=None, experiment="live"):
    """Adds or replaces one measure of the report."""
    measures = []
    if os.path.exists(REPORT):
        with open(REPORT) as file:
            measures = json.load(file)
    holds = (bound is None or goal == "none" or
             (value <= bound if goal == "at_most" else value >= bound))
    measures = [each for each in measures if each["measure"] != name]
    measures.append({"experiment": experiment, "measure": name, "unit": unit, "value": value,
                     "baseline": baseline, "bound": bound, "goal": goal, "holds": holds, "seed": SEED})
    with open(REPORT, "w") as file:
        file.write("[\n" + ",\n".join(json.dumps(each) for each in measures) + "\n]\n")
    print(f"{name:44} {value:12.4g} {unit:10} {'' if holds else 'DOES NOT HOLD'}"
          f"{'' if bound is None else f' bound {bound:g}'}"
          f"{'' if baseline is None else f' baseline {baseline:.4g}'}", flush=True)


def measured(name):
    with open(REPORT) as file:
        return next(each["value"] for each in json.load(file) if each["measure"] == name)


def load(name, target, options, direct=""):
    command = [f"{BUILD}/bench/laburnum-bench", "load", name, "--target", target,
               "--key", "bench-key", "--report", REPORT, "--seed", str(SEED),
               "--options", json.dumps(options)]
    if direct:
        command += ["--direct", direct]
    subprocess.run(command, check=True)


def path():
    """What one entry adds and carries."""
    with Fleet() as fleet:
        service, _ = fleet.standin("service")
        fleet.daemon("agent-s", "agent", "a", {"kind": "plain", "address": service,
                                               "offers": ["bench"], "slots": 256})
        for i in range(4):
            engine, _ = fleet.standin("engine", "--slots", "400", "--step-us", "10000",
                                      "--sequence-us", "1")
            last = fleet.daemon(f"agent-{i}", "agent", "a",
                                {"kind": "engine", "address": engine, "offers": ["bench@1"],
                                 "slots": 400})
        entry = fleet.daemon("entry-1", "entry", "a")
        fleet.apply("contract", {"account": "bench", "rate": 1000000, "burst": 1000000,
                                 "models": [{"name": "bench"}], "services": ["bench"],
                                 "keys": [label("bench-key")]})
        fleet.rollout("contract", "bench")
        fleet.await_agents("entry-1", 5)
        callers = fleet.address("entry-1", "callers")
        load("latency", callers, {"count": 3000}, service)
        before, start = cpu_seconds(entry), time.time()
        load("rate", callers, {"connections": 64, "seconds": 4})
        used = (cpu_seconds(entry) - before) / (time.time() - start)
        add("path.requests_per_core_s", "1/s", measured("path.raw_requests_s") / max(used, 0.01),
            10000, "at_least", experiment="path")
        before, start = cpu_seconds(entry), time.time()
        load("streams", callers, {"streams": 1000, "tokens": 300, "seconds": 4})
        used = (cpu_seconds(entry) - before) / (time.time() - start)
        rate = measured("path.raw_stream_tokens_s")
        # The stand-ins and the load tool share the machine; what counts is
        # what the entry's core could carry.
        add("path.stream_tokens_s", "1/s", rate / max(used, 0.01), 100000, "at_least",
            baseline=rate, experiment="path")
        process = subprocess.Popen([f"{BUILD}/bench/laburnum-bench", "load", "streams", "--target",
                                    callers, "--key", "bench-key", "--options",
                                    json.dumps({"streams": 1000, "tokens": 500, "seconds": 2})],
                                   stdout=subprocess.DEVNULL)
        time.sleep(2)
        add("path.open_streams", "count", float(fleet.status("entry-1")["requests"]), experiment="path")
        add("path.entry_rss_mb", "MB", rss_mb(entry), 32, "at_most", experiment="path")
        add("path.agent_rss_mb", "MB", rss_mb(last), 32, "at_most", experiment="path")
        process.wait()


def trace():
    """Short traces through running daemons, ours and the baselines."""
    with Fleet() as fleet:
        for i in range(4):
            engine, _ = fleet.standin("engine")
            fleet.daemon(f"agent-{i}", "agent", "ab"[i % 2], {"kind": "engine", "address": engine,
                                                            "offers": ["bench@1"], "slots": 8})
        fleet.daemon("entry-1", "entry", "a")
        for i in range(10):
            account = f"account-{i}"
            fleet.apply("contract", {"account": account, "share": 3 if i < 2 else 1, "rate": 10000,
                                     "models": [{"name": "bench"}], "keys": [label(f"key-{account}")]})
        fleet.rollout("contract", "account-9")
        fleet.await_agents("entry-1", 4)
        callers = fleet.address("entry-1", "callers")
        policies = {"ours": {},
                    "baseline": {"routing": "least_outstanding", "queue": "fcfs", "admission": False}}
        version = 0
        for name, policy in policies.items():
            value = {"routing": "weighted_load", "queue": "short_first", "admission": True, **policy}
            if version:
                value["$version"] = version
            fleet.apply("policy", value)
            fleet.rollout("policy", "policy")
            listed = subprocess.run([f"{BUILD}/apps/laburnumctl", "--platform", fleet.platform, "policy",
                                     "get", "policy"], check=True, capture_output=True, text=True)
            version = json.loads(listed.stdout)["$version"]
            load("trace", callers, {"kind": "garden", "seconds": 20, "load_percent": 90,
                                    "label": f"live.garden.{name}"})
            load("trace", callers, {"kind": "storm", "seconds": 24, "load_percent": 50,
                                    "label": f"live.storm.{name}"})
    add("live.hol.short_ttft_p95_ratio", "ratio",
        measured("live.garden.baseline.short_ttft_p95_s") / measured("live.garden.ours.short_ttft_p95_s"),
        5, "at_least")
    add("live.hol.long_p99_slowdown_ratio", "ratio",
        measured("live.garden.ours.long_p99_s") / measured("live.garden.baseline.long_p99_s"),
        2, "at_most")
    add("live.crest.ttft_p95_s", "s", measured("live.storm.ours.short_ttft_p95_s"), 1.8, "at_most",
        baseline=measured("live.storm.baseline.short_ttft_p95_s"))
    add("live.crest.refusal_p99_ms", "ms", measured("live.storm.ours.refusal_p99_ms"), 50, "at_most")


def control():
    """Processor time, memory, bytes and spread of configuration by size."""
    for count in (25, 50, 100, 200):
        with Fleet() as fleet:
            service, _ = fleet.standin("service")
            entries = {}
            agents = {}
            for i in range(count):
                domain = f"domain-{i % 8}"
                if i % 3 == 0:
                    entries[f"entry-{i}"] = fleet.daemon(f"entry-{i}", "entry", domain)
                else:
                    agents[f"agent-{i}"] = fleet.daemon(f"agent-{i}", "agent", domain, {
                        "kind": "plain", "address": service, "offers": ["bench"]})
            names = list(entries) + list(agents)
            for name in names:
                fleet.address(name, "operators")
            time.sleep(4 + count / 25)
            everyone = {**entries, **agents}
            known = min(len(fleet.status(name)["members"]) for name in names[:5])
            before = {name: cpu_seconds(process) for name, process in everyone.items()}

            def counter(name, field):
                text = fleet.get(fleet.address(name, "operators"), "/metrics")
                found = re.search(rf"^{field} (\S+)", text, re.M)
                return float(found.group(1)) if found else 0.0

            def control_bytes(name):
                return counter(name, "laburnum_control_bytes") + counter(name, "laburnum_agent_link_bytes")

            sample = names[:4] + names[-4:]
            bytes_before = {name: control_bytes(name) for name in sample}
            start = time.time()
            time.sleep(10)
            span = time.time() - start
            for role, group in (("entry", entries), ("agent", agents)):
                share = max(cpu_seconds(process) - before[name] for name, process in group.items()) / span
                add(f"control.cpu_share.{role}.{count}", "share", share)
                add(f"control.rss_mb.{role}.{count}", "MB", max(map(rss_mb, group.values())))
            rate = max(control_bytes(name) - bytes_before[name] for name in sample) / span
            add(f"control.bytes_s.{count}", "B/s", rate)
            add(f"control.members_known.{count}", "count", known)
            calls = json.loads(fleet.get(fleet.platform, "/standin/counts"))
            time.sleep(5)
            later = json.loads(fleet.get(fleet.platform, "/standin/counts"))
            add(f"control.platform_calls_s.{count}", "1/s",
                sum(later[key] - calls[key] for key in ("reads", "writes")) / 5)
            accepted = time.time()
            fleet.apply("contract", {"account": "late"})
            time.sleep(4)
            worst, missing = 0.0, 0
            for name in names:
                with open(f"{fleet.work}/{name}.log") as file:
                    found = re.findall(r'"time_ms":(\d+)[^\n]*"in_force"[^\n]*"late"', file.read())
                missing += 0 if found else 1
                worst = max(worst, int(found[0]) / 1000 - accepted if found else 0)
            add(f"config.in_force_max_s.processes_{count}", "s", worst, 4, "at_most")
            add(f"config.in_force_missing.processes_{count}", "count", missing, 0, "at_most")


LIVE = sys.modules[__name__]
RUNS = {"path": path, "trace": trace, "control": control,
        "fair": lambda: bench_waves.fair(LIVE),
        "restart": lambda: bench_waves.restart(LIVE),
        "cutoff": lambda: bench_waves.cutoff(LIVE)}
for part in PARTS:
    print(f"== live {part}", flush=True)
    RUNS[part]()
