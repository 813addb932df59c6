#!/usr/bin/env python3
"""Measures the resource usage of each role at several cluster sizes and writes a plot of it.

Usage: Utilities/measure_capacity.py [SECONDS] > slopes.txt

Prints each measurement and the slopes; the plot is written to docs/capacity.svg. One stand-in process
simulates all workers. Processor time and memory are read from /proc, bytes and messages from the
processes' own metrics, all over a window of SECONDS (default 8).
"""
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
WINDOW = float(sys.argv[1]) if len(sys.argv) > 1 else 8.0
TICK = os.sysconf("SC_CLK_TCK")
TOKEN = "0123456789abcdef0123456789abcdef"


class System:
    """A cluster of three control replicas, several entries and one process of stand-in workers."""

    def __init__(self, workers, entries):
        self.folder = tempfile.TemporaryDirectory()
        self.base = pathlib.Path(self.folder.name)
        self.processes = {}
        self.entries = entries
        token = self.base / "token"
        token.write_text(TOKEN)
        token.chmod(0o600)
        replicas = ", ".join(f"control-{n}@127.0.0.1:{7000 + n}" for n in (1, 2, 3))
        control = ", ".join(f"127.0.0.1:{7000 + n}" for n in (1, 2, 3))
        for n in (1, 2, 3):
            self.write(f"control-{n}.ini", f"""[control]
cluster = capacity
name = control-{n}
listen = 127.0.0.1:{7000 + n}
data = {self.base}/control-{n}
replicas = {replicas}
log_level = error
[admin]
listen = 127.0.0.1:{7100 + n}
token_file = {token}
""")
            self.start(f"control-{n}", "mango_control", "--settings", self.base / f"control-{n}.ini")
        for n in range(1, entries + 1):
            self.write(f"entry-{n}.ini", f"""[entry]
cluster = capacity
name = entry-{n}
failure_domain = d{n}
data = {self.base}/entry-{n}
control = {control}
log_level = error
[callers]
listen = 127.0.0.1:{8000 + n}
[workers]
listen = 127.0.0.1:{8100 + n}
""")
            self.start(f"entry-{n}", "mango_entry", "--settings", self.base / f"entry-{n}.ini")
        announce = ",".join(f"127.0.0.1:{8100 + n}" for n in range(1, entries + 1))
        (self.base / "checkpoints").mkdir()
        self.start("workers", "mango_stand_in", "--name", "w", "--count", str(workers),
                   "--address", "127.0.0.1:9001", "--failure-domain", "a,b,c,d,e,f,g",
                   "--entries", announce, "--slots", "48", "--announce-ms", "5000",
                   "--checkpoint-ms", "30000", "--checkpoints", self.base / "checkpoints")
        self.put("routes", "[p]\npath = /p\nmethod = GET\npool = w\n[b]\npath = /b\nmethod = POST\n"
                 "kind = batch\npool = w\ndeadline = 5s\ncores = 0.1\nmemory = 1MB\n")
        self.put("pools", "[w]\nworkers = w*\nrequest_memory = 1MB\nrequest_cores = 0.1\n")
        self.until(lambda: self.serving() >= workers, 60)

    def write(self, name, text):
        (self.base / name).write_text(text)

    def start(self, name, program, *words):
        self.processes[name] = subprocess.Popen(
            [str(BIN / program), *map(str, words)], stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL)

    def ask(self, method, path, body=None):
        for n in (1, 2, 3):
            try:
                link = http.client.HTTPConnection("127.0.0.1", 7100 + n, timeout=5)
                link.request(method, path, body, {"Authorization": "Bearer " + TOKEN})
                answer = link.getresponse()
                text = answer.read().decode()
            except OSError:
                continue
            if answer.status == 200:
                return n, text
        return None, ""

    def until(self, check, limit):
        end = time.time() + limit
        while time.time() < end:
            if check():
                return
            time.sleep(0.2)
        raise RuntimeError("the cluster did not reach the expected state within the time limit")

    def put(self, table, text):
        body = json.dumps({"expected_version": 0, "change_id": table, "text": text})
        self.until(lambda: self.ask("PUT", "/v1/tables/" + table, body)[0], 20)

    def serving(self):
        return self.ask("GET", "/v1/workers")[1].count('"serving":true')

    def run_tasks(self, count):
        """Submits this number of long tasks and returns the rate of task starts per second."""
        begin = time.time()
        placed = self.metric(self.leader(), "mango_tasks_placed_total")
        left = count
        while left > 0:
            size = min(left, 500)
            link = http.client.HTTPConnection("127.0.0.1", 8001, timeout=10)
            link.request("POST", "/b", json.dumps({"tasks": size, "run_time_ms": 3_600_000}))
            assert link.getresponse().status == 202
            left -= size
        self.until(lambda: self.metric(self.leader(), "mango_tasks_placed_total")
                   >= placed + count, 200)
        return count / (time.time() - begin)

    def leader(self):
        return f"control-{self.ask('GET', '/v1/status')[0]}"

    def metrics(self, name):
        kind, number = name.rsplit("-", 1)
        port = (7100 if kind == "control" else 8100) + int(number)
        link = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        link.request("GET", "/metrics", headers={"Authorization": "Bearer " + TOKEN})
        found = {}
        for line in link.getresponse().read().decode().splitlines():
            key, value = line.rsplit(" ", 1)
            found[key] = int(value)
        return found

    def metric(self, name, key):
        return self.metrics(name).get(key, 0)

    def sample(self, name):
        stat = pathlib.Path(f"/proc/{self.processes[name].pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        counted = self.metrics(name)
        links = sum(v for k, v in counted.items() if k.startswith("mango_link_bytes_total"))
        calls = sum(v for k, v in counted.items()
                    if k.startswith("mango_worker_call_bytes_total"))
        frames = sum(v for k, v in counted.items() if k.startswith("mango_link_frames_total{"))
        return {"cpu": (int(fields[11]) + int(fields[12])) / TICK, "rss": int(fields[21]) * 4 / 1024,
                "links": links, "calls": calls, "frames": frames,
                "syncs": counted.get("mango_disk_syncs_total", 0)}

    def measure(self):
        """Returns the resource usage of the leader, a follower and an entry over the window."""
        leader = self.leader()
        follower = next(n for n in ("control-1", "control-2", "control-3") if n != leader)
        roles = {"leader": leader, "follower": follower, "entry": "entry-1"}
        before = {role: self.sample(name) for role, name in roles.items()}
        time.sleep(WINDOW)
        result = {}
        for role, name in roles.items():
            after = self.sample(name)
            one = {key: (after[key] - before[role][key]) / WINDOW for key in after}
            result[role] = {"cpu_percent": round(100 * one["cpu"], 2),
                            "rss_mb": round(after["rss"], 1),
                            "links_kb_s": round(one["links"] / 1024, 2),
                            "worker_calls_kb_s": round(one["calls"] / 1024, 2),
                            "frames_s": round(one["frames"], 1),
                            "syncs_s": round(one["syncs"], 2)}
        return result

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
        self.folder.cleanup()


def plot(series):
    """Returns an SVG plot with a curve per role and measure against the cluster size."""
    colours = {"leader": "#c0392b", "follower": "#8e44ad", "entry": "#1b6ca8"}
    panels = []
    measures = [("cpu_percent", "% of a core"), ("rss_mb", "MB"), ("links_kb_s", "KB/s on links")]
    for row, (axis, points) in enumerate(series.items()):
        for column, (measure, unit) in enumerate(measures):
            x0, y0 = 60 + column * 300, 40 + row * 220
            top = max(p[1][r][measure] for p in points for r in colours) or 1
            right = max(p[0] for p in points) or 1
            panels.append(f'<text x="{x0}" y="{y0 - 10}">{unit} against {axis} (top {top:g})</text>'
                          f'<rect x="{x0}" y="{y0}" width="230" height="150" fill="none" '
                          'stroke="#999999"/>')
            for role, colour in colours.items():
                line = " ".join(f"{x0 + 230 * size / right:.1f},"
                                f"{y0 + 150 - 150 * cost[role][measure] / top:.1f}"
                                for size, cost in points)
                panels.append(f'<polyline fill="none" stroke="{colour}" stroke-width="2" '
                              f'points="{line}"/>')
    legend = "".join(f'<text x="{60 + 90 * n}" y="16" fill="{c}">{r}</text>'
                     for n, (r, c) in enumerate(colours.items()))
    height = 60 + 220 * len(series)
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="940" height="{height}" '
            'font-family="sans-serif" font-size="11"><rect width="100%" height="100%" '
            f'fill="white"/>{legend}{"".join(panels)}</svg>\n')


def main():
    series = {"workers": [], "entries": [], "tasks on 280 workers": []}
    for workers in (140, 280, 560):
        system = System(workers, 4)
        time.sleep(4)
        series["workers"].append((workers, system.measure()))
        system.stop()
    for entries in (2, 4, 8):
        system = System(140, entries)
        time.sleep(4)
        series["entries"].append((entries, system.measure()))
        system.stop()
    system = System(280, 4)
    time.sleep(4)
    rates = []
    for total in (1000, 2000, 4000):
        rates.append(round(system.run_tasks(total - (0 if not rates else total // 2)), 1))
        time.sleep(4)
        series["tasks on 280 workers"].append((total, system.measure()))
    system.stop()
    for axis, points in series.items():
        for size, cost in points:
            for role, values in cost.items():
                print(json.dumps({"axis": axis, "size": size, "role": role, **values}))
    print(json.dumps({"axis": "task starts a second", "reached": rates}))
    for axis, points in series.items():
        (low, first), (high, last) = points[0], points[-1]
        for role in first:
            slopes = {m: round((last[role][m] - first[role][m]) / (high - low), 5) for m in first[role]}
            print(json.dumps({"slope for each of": axis, "role": role, **slopes}))
    (ROOT / "docs" / "capacity.svg").write_text(plot(series))


if __name__ == "__main__":
    main()
