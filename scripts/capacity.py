#!/usr/bin/env python3
"""Writes the tables of docs/CAPACITY.md and its plot from a report.

usage: capacity.py REPORT PAGE
"""
import json
import os
import re
import subprocess
import sys

REPORT, PAGE = sys.argv[1], sys.argv[2]
SIZES = (25, 50, 100, 200)
PLANNED = {"daemons": 410 + 790, "entries": 410, "agents": 790, "accounts": 1600, "models": 18,
           "requests": 9700, "tokens": 2.9e6, "platform_calls": 2000}


def fit(points):
    """Least squares of y = a + b x, with the largest residual."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    b = sum((x - mx) * (y - my) for x, y in points) / sum((x - mx) ** 2 for x, _ in points)
    a = my - b * mx
    return a, b, max(abs(y - a - b * x) for x, y in points)


def main():
    with open(REPORT) as file:
        values = {each["measure"]: each for each in json.load(file)}

    def value(name, default=None):
        return values[name]["value"] if name in values else default

    lines = ["| slope | 25 | 50 | 100 | 200 | fit a + b n | largest residual | at 1,200 | bound |",
             "|---|---|---|---|---|---|---|---|---|"]
    plots = []
    bounds = {"control.cpu_share": 0.038, "control.rss_mb": 32, "control.bytes_s": 3000}
    series = [(f"{name}.{role}", bounds[name]) for name in ("control.cpu_share", "control.rss_mb")
              for role in ("entry", "agent")]
    series += [("control.bytes_s", 3000), ("control.platform_calls_s", 200)]
    for name, bound in series:
        points = [(size, value(f"{name}.{size}")) for size in SIZES if f"{name}.{size}" in values]
        if len(points) < 3:
            continue
        if name == "control.bytes_s":
            # The overlay's degree does not grow in a line: the decision sets tell.
            cells = " | ".join(f"{y:.4g}" for _, y in points)
            lines.append(f"| `{name}` | {cells} | none | | {value('config.bytes_s_per_daemon', 0):.4g} (sets) | {bound:g} |")
            continue
        a, b, residual = fit(points)
        planned = a + b * PLANNED["daemons"]
        plots.append((name, points, a, b))
        cells = " | ".join(f"{y:.4g}" for _, y in points)
        lines.append(f"| `{name}` | {cells} | {a:.4g} + {b:.4g} n | {residual:.2g} | {planned:.4g} | {bound:g} |")
    slopes = "\n".join(lines)

    def per(name):
        return value(name, 0.0)

    memory = [
        ("members", 1200, per("state.bytes_per_member"), "both", "overlay news and bucket digest"),
        ("contracts", 1600, per("state.bytes_per_contract"), "both", "merge by version"),
        ("accounts in demand", 1600, per("policy.bytes_per_account"), "entry", "keeper by rendezvous hash, idle ones forgotten"),
        ("servers in the router", 790, per("policy.bytes_per_server"), "entry", "subsets of 32 by rendezvous hash"),
        ("attempt rows of 120 s at 12.3/s", 1480, per("state.bytes_per_attempt_row"), "agent", "settled rows go after 5 s"),
    ]
    rows = ["| state | count | bytes each | MB | held by | mechanism |", "|---|---|---|---|---|---|"]
    for what, count, each, who, how in memory:
        rows.append(f"| {what} | {count} | {each:.0f} | {count * each / 1e6:.2f} | {who} | {how} |")
    state = "\n".join(rows)

    entry_requests = PLANNED["requests"] / PLANNED["entries"]
    entry_tokens = PLANNED["tokens"] / PLANNED["entries"]
    traffic = ["| load on an entry at the peak | planned | measured that one core carries | share of a core |",
               "|---|---|---|---|"]
    for what, planned, name in (("requests a second", entry_requests, "path.requests_per_core_s"),
                                ("token events a second", entry_tokens, "path.stream_tokens_s")):
        carried = value(name)
        if carried:
            traffic.append(f"| {what} | {planned:.4g} | {carried:.4g} | {planned / carried:.3g} |")
    load = "\n".join(traffic)

    sets = ["| measure | value | bound | holds |", "|---|---|---|---|"]
    for name in ("config.in_force_max_s", "config.platform_calls_s", "config.platform_calls_s.joining_herd",
                 "config.bytes_s_per_daemon", "membership.detect_p99_s", "membership.leaving_known_s",
                 "membership.false_suspicions_day", "membership.merge_bytes_s_per_daemon",
                 "platform.calls_per_booking", "policy.decision_us"):
        if name in values:
            each = values[name]
            sets.append(f"| `{name}` | {each['value']:.4g} {each['unit']} | {each['bound']} | {'yes' if each['holds'] else 'no'} |")
    decision = "\n".join(sets)

    with open(PAGE) as file:
        page = file.read()
    for mark, text in (("slopes", slopes), ("state", state), ("load", load), ("sets", decision)):
        page = re.sub(rf"(<!-- {mark} -->\n).*?(<!-- end -->)",
                      lambda m: m.group(1) + text + "\n" + m.group(2), page, flags=re.S)
    with open(PAGE, "w") as file:
        file.write(page)
    plot(plots)


def plot(plots):
    """One SVG with a panel for each slope."""
    if not plots:
        return
    script = [f"set terminal svg size 900,{300 * ((len(plots) + 1) // 2)} dynamic",
              f"set output '{os.path.join(os.path.dirname(PAGE), 'capacity.svg')}'",
              f"set multiplot layout {(len(plots) + 1) // 2},2", "set key left top", "set xlabel 'daemons'"]
    for name, points, a, b in plots:
        data = "\\n".join(f"{x} {y}" for x, y in points)
        script.append(f"$data << EOD\n" + data.replace("\\n", "\n") + "\nEOD")
        script.append(f"set title '{name}' noenhanced")
        script.append(f"plot $data with points pt 7 title 'measured', {a}+{b}*x title 'fit'")
    subprocess.run(["gnuplot"], input="\n".join(script), text=True, check=True)


main()
