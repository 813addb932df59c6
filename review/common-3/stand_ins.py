"""Stand-ins for clients, workers and the operator, and a small deployment of the real programs.

Follows PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses and on free ports.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL = os.path.join(ROOT, "target", "bin", "mango_platform_control")
EDGE = os.path.join(ROOT, "target", "bin", "mango_platform_edge")

# Bounds of the site lindqvist-mw, in seconds where not said otherwise.
CONTACT = 3.0
ACK = 4.0
CONFIG_APPLY = 2.0
CANCEL = 3.0
VISIBLE = 3.0
STOP_GRACE = 0.9
GANG_TIMEOUT = 3.0
MAX_HOLD_MS = 10000
CHECKPOINT_MS = 1000
RESTORE_MS = 600
HEARTBEAT = 1.1

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def line(self, *words):
        text = "%8.3f %s" % (self.now(), " ".join(str(word) for word in words))
        self.file.write(text + "\n")
        self.file.flush()

    def say(self, *words):
        self.line(*words)
        print(" ".join(str(word) for word in words), flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def common_free_port(ips):
    """A port that is free on all the addresses."""
    for _ in range(200):
        port = free_port(ips[0])
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def http_call(address, method, path, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own; returns (status, body), status 0 for no answer."""
    ip, port = address
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        data = b"" if body is None else json.dumps(body).encode()
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": "%s:%d" % (ip, port), "Content-Type": "application/json",
                  "Content-Length": str(len(data)), "Connection": "close"}
        fields.update(headers or {})
        lines += ["%s: %s" % item for item in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        return await read_message(reader)

    try:
        answer = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        answer = None
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return 0, None
    status = int(answer[0].split(" ")[1])
    try:
        return status, json.loads(answer[2]) if answer[2] else None
    except ValueError:
        return status, None


class Deployment:
    """Control and edge processes, started with the commands and templates of the deploy file."""

    def __init__(self, record, controls=3, edges=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="mango-case-")
        self.control_ips = ["127.0.11.%d" % (n + 1) for n in range(controls)]
        self.edge_ips = ["127.0.12.%d" % (n + 1) for n in range(edges)]
        ips = self.control_ips + self.edge_ips
        self.peer_port = common_free_port(ips)
        self.control_port = common_free_port(ips)
        self.edge_port = common_free_port(ips)
        self.ready_port = common_free_port(ips)
        self.metrics_port = common_free_port(ips)
        self.processes = {}

    def controls(self):
        return [(ip, self.control_port) for ip in self.control_ips]

    def edges(self):
        return [(ip, self.edge_port) for ip in self.edge_ips]

    def settings_of(self, name, ip):
        seeds = ",".join("%s:%d" % (one, self.control_port) for one in self.control_ips[:3])
        if name.startswith("core"):
            return "\n".join([
                "[fleet]", "cluster = mangoworks", "name = " + name,
                "listen = %s:%d" % (ip, self.peer_port),
                "control = %s:%d" % (ip, self.control_port),
                "metrics = %s:%d" % (ip, self.metrics_port),
                "data = " + os.path.join(self.folder, name, "data"), "seeds = " + seeds,
                "peer_port = %d" % self.peer_port,
                "first_start = " + ("no" if name in self.processes else "yes"),
                "descriptors = 4096",
                "memory = 256MB", ""])
        return "\n".join([
            "[gateway]", "cluster = mangoworks", "name = " + name,
            "callers = %s:%d" % (ip, self.edge_port),
            "readiness = %s:%d" % (ip, self.ready_port),
            "metrics = %s:%d" % (ip, self.metrics_port), "seeds = " + seeds,
            "peer_port = %d" % self.peer_port, "memory = 260MB", "descriptors = 4100", ""])

    async def start_one(self, name, ip):
        folder = os.path.join(self.folder, name)
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        settings = os.path.join(folder, "settings.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self.settings_of(name, ip))
        program = CONTROL if name.startswith("core") else EDGE
        with open(os.path.join(folder, "log"), "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                program, "--settings", settings, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})

    async def start(self):
        for program in (CONTROL, EDGE):
            if not os.access(program, os.X_OK):
                raise CannotRun("not built: " + os.path.relpath(program, ROOT))
        for at, ip in enumerate(self.control_ips):
            await self.start_one("core-%d" % (at + 1), ip)
        for at, ip in enumerate(self.edge_ips):
            await self.start_one("edge-%d" % (at + 1), ip)
        self.record.line("started", len(self.control_ips), "control and", len(self.edge_ips),
                         "edge processes")

    def unexpected_ends(self):
        return [name for name, process in self.processes.items() if process.returncode is not None]

    async def stop(self, keep_logs=None):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        if keep_logs:
            shutil.rmtree(keep_logs, ignore_errors=True)
            os.makedirs(keep_logs)
            for name in self.processes:
                shutil.copy(os.path.join(self.folder, name, "log"),
                            os.path.join(keep_logs, name + ".log"))
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, service="order-desk", guards=True):
    """A configuration with one service; each route is a dict with host and path_prefix."""
    full = []
    for at, route in enumerate(routes):
        one = {"name": "r-%d" % at, "kind": "unsafe", "timeout_ms": 3000,
               "target_latency_ms": 1000, "priority": 0, "service": service, "max_attempts": 3,
               "stretch": 2.0}
        one.update(route)
        full.append(one)
    return {"version": version, "routes": full,
            "services": [{"name": service, "health_path": "/health", "max_conns": 64,
                          "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                          "enforces_capacity": guards, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Operator:
    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment

    async def order(self, method, path, body=None, limit=20.0):
        """Sends an order until it is acknowledged, to one control machine after the other."""
        begin = time.monotonic()
        nodes = self.deployment.controls()
        attempt = 0
        while time.monotonic() - begin < limit:
            status, _ = await http_call(nodes[attempt % len(nodes)], method, path, body,
                                        timeout=1.0)
            attempt += 1
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self.record.line("operator", method, path,
                                 "version %s" % body["version"] if body else "", "->", status)
                return status
            await asyncio.sleep(0.2)
        raise CannotRun("the operator got no acknowledgement of %s %s" % (method, path))


class Client:
    def __init__(self, record, deployment, host):
        self.record = record
        self.deployment = deployment
        self.host = host
        self.next = 0

    async def call(self, method, path, body=None, deadline=3.0):
        edges = self.deployment.edges()
        edge = edges[self.next % len(edges)]
        self.next += 1
        status, answer = await http_call(edge, method, path, body,
                                         {"Host": self.host,
                                          "Deadline-Ms": str(int(deadline * 1000))},
                                         timeout=deadline)
        self.record.line("client", method, path, "->", status, answer if answer else "")
        return status, answer

    async def submit(self, path, body, limit=15.0):
        """Submits a job until it is accepted; returns when the acknowledgement came."""
        begin = time.monotonic()
        while time.monotonic() - begin < limit:
            status, _ = await self.call("POST", path, body)
            if 200 <= status < 300:
                return self.record.now()
            await asyncio.sleep(0.3)
        raise CannotRun("the job %s was not accepted" % path)

    async def state(self, path):
        status, answer = await self.call("GET", path)
        return status, (answer or {}).get("state")


class Gangs:
    """Lets the members of a gang begin together, on whichever workers they are."""

    def __init__(self):
        # By the step's name and the run: the members by task.
        self.runs = {}
        # The runs of gangs of which a member has ended other than `done`.
        self.over = set()

    def join(self, run):
        self.runs.setdefault(run.gang_key(), {})[run.task] = run
        if run.gang_key() in self.over:
            run.worker.end(run, "broken")
            return
        members = self.runs[run.gang_key()]
        present = [one for one in members.values() if one.ended is None]
        # All must carry the same value of `last_checkpoint`.
        same = len({one.carried for one in present}) == 1
        if len(present) == run.spec["count"] and same:
            for one in present:
                one.begin_work()

    def members(self, run):
        return list(self.runs.get(run.gang_key(), {}).values())


class Run:
    def __init__(self, worker, task, number, spec, carried):
        self.worker = worker
        self.task = task
        self.number = number
        self.spec = spec
        self.carried = carried
        self.started = worker.clock()
        self.saved = carried
        self.worked_before = int(carried[:8], 16) if carried else 0
        self.working_since = None
        self.ended = None

    def gang_key(self):
        return self.task.rsplit(".", 1)[0], self.number

    def begin_work(self):
        if self.working_since is None:
            restore = RESTORE_MS if self.carried else 0
            self.working_since = self.worker.clock() + restore

    def worked(self):
        if self.working_since is None:
            return self.worked_before
        return self.worked_before + max(0, self.worker.clock() - self.working_since)

    def update(self):
        """Produces a new checkpoint with each `checkpoint_s` of work."""
        worked = min(self.worked(), self.spec["work_ms"])
        if self.spec.get("saves"):
            full = worked // CHECKPOINT_MS * CHECKPOINT_MS
            if full > (int(self.saved[:8], 16) if self.saved else 0):
                self.saved = "%08x%s" % (full, self.task[4:12])

    def percent(self):
        if self.spec.get("lasts"):
            return 100 if self.working_since is not None else 0
        return min(99, self.worked() * 100 // max(1, self.spec["work_ms"]))


class Worker:
    """One worker of the platform. What a task does is told by its specification, a JSON text:
    work_ms, count (of the members of its gang), gang, saves, cpu, mem_mb.
    """

    def __init__(self, fleet, name, ip, zone, labels, cpu=32000, mem_mb=125000):
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.ip = ip
        self.port = free_port(ip)
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.gpu = 0
        self.server = None
        self.tasks = []
        self.connections = set()
        # Each task that it starts fails at once.
        self.fails_starts = False
        # Whether it rejects what does not fit.
        self.guards = True
        # Cut off: nothing passes between this worker and anybody else.
        self.cut = False
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.birth = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.deadline = 0
        self.runs = {}
        self.closed_runs = {}
        self.ends = []
        self.next_end = 1
        self.changed = asyncio.Event()
        self.up = True

    def clock(self):
        return int((time.monotonic() - self.birth) * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    async def crash(self):
        """Ends at once, without a word; all that runs here is gone."""
        self.record.line("worker", self.name, "crashes with", sorted(self.runs))
        self.up = False
        for run in self.runs.values():
            run.ended = "crashed"
        gangs = [run for run in self.runs.values() if run.spec.get("gang")]
        self.runs = {}
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        for run in gangs:
            self.break_gang(run)

    async def restart(self):
        """A new life under the same id, which knows nothing of the one before."""
        self.reset()
        self.record.line("worker", self.name, "is back, born", self.born)
        await self.start()

    def crash_for(self, seconds):
        async def cycle():
            await self.crash()
            await asyncio.sleep(seconds)
            await self.restart()
        self.fleet.spawn(cycle())

    def stop(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def beat(self):
        nodes = self.fleet.deployment.controls()
        preferred = None
        at = hash(self.name) % len(nodes)
        while self.up:
            if self.cut:
                await asyncio.sleep(0.1)
                continue
            self.sequence += 1
            body = {"service": "order-desk", "address": "%s:%d" % (self.ip, self.port),
                    "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                    "cold_left_ms": 0, "born": self.born,
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": self.gpu},
                    "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence}
            for _ in range(len(nodes)):
                node = preferred or nodes[at % len(nodes)]
                status, answer = await http_call(node, "PUT", "/instances/" + self.name, body,
                                                 timeout=1.0)
                if 200 <= status < 300:
                    if answer and answer.get("heartbeat_addr"):
                        ip, port = answer["heartbeat_addr"].split(":")
                        preferred = (ip, int(port))
                    break
                preferred = None
                at += 1
            await asyncio.sleep(HEARTBEAT)

    async def tick(self):
        while self.up:
            await asyncio.sleep(0.02)
            now = self.clock()
            if self.runs and now > self.deadline:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.ended is not None:
                    continue
                run.update()
                crash_after = run.spec.get("crash_after_ms")
                if TROUBLE and crash_after and now - run.started >= crash_after:
                    self.record.line("task", run.task, "run", run.number, "crashes its worker",
                                     self.name)
                    self.fleet.crashes.append((self.record.now(), run.task, run.number, self.name))
                    self.crash_for(run.spec.get("back_after_s", 2.0))
                    return
                if run.spec.get("gang") and run.working_since is None:
                    if now - run.started >= GANG_TIMEOUT * 1000:
                        self.end(run, "alone")
                elif not run.spec.get("lasts") and run.worked() >= run.spec["work_ms"]:
                    self.end(run, "done")

    def end(self, run, how):
        if run.ended is not None:
            return
        run.update()
        run.ended = how
        self.runs.pop(run.task, None)
        self.closed_runs[run.task] = max(run.number, self.closed_runs.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.number, how, run.saved])
        self.next_end += 1
        self.record.line("worker", self.name, "run", run.task, run.number, "ends", how, run.saved)
        self.fleet.ended.append((self.record.now(), run.task, run.number, how, self.name))
        self.changed.set()
        if run.spec.get("gang"):
            if how == "done":
                for other in self.fleet.gangs.members(run):
                    if other.ended is None:
                        other.worker.end(other, "done")
            else:
                self.break_gang(run)

    def break_gang(self, run):
        """The others of a gang end when a member ends."""
        self.fleet.gangs.over.add(run.gang_key())
        for other in self.fleet.gangs.members(run):
            if other.ended is None:
                other.worker.end(other, "broken")

    def free_for(self, spec):
        if not self.guards:
            return True
        runs = [run.spec for run in self.runs.values()] + [spec]
        cpu = sum(one.get("cpu", 0) for one in runs if not one.get("fills"))
        return (cpu <= self.cpu and sum(one.get("mem_mb", 0) for one in runs) <= self.mem_mb
                and sum(one.get("gpu", 0) for one in runs) <= self.gpu)

    def take_deadline(self, body):
        if "deadline_ms" in body:
            self.deadline = max(self.deadline, min(body["deadline_ms"],
                                                   self.clock() + MAX_HOLD_MS))

    def passes_fence(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return False
        self.fence = token
        return True

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def start_run(self, body):
        task, number = body["task"], body["run"]
        spec = json.loads(body["spec"])
        if not self.passes_fence(body):
            return self.refuse("fence")
        if body["deadline_ms"] < self.clock():
            return self.refuse("late")
        known = self.runs.get(task)
        if known and known.number == number:
            return 200, {"clock_ms": self.clock()}
        self.take_deadline(body)
        if number <= self.closed_runs.get(task, 0) or known:
            return self.refuse("old")
        if not self.free_for(spec):
            self.record.line("worker", self.name, "start", task, number, "-> 409 room")
            return self.refuse("room")
        run = Run(self, task, number, spec, body.get("last_checkpoint", ""))
        self.runs[task] = run
        self.record.line("worker", self.name, "start", task, number, "checkpoint",
                         run.carried or "-", "-> 200")
        self.fleet.starts.append((self.record.now(), task, number, self.name, run.carried))
        if self.fails_starts:
            self.fleet.gangs.runs.setdefault(run.gang_key(), {})[task] = run
            self.end(run, "failed")
        elif spec.get("gang"):
            self.fleet.gangs.join(run)
        else:
            run.begin_work()
        return 200, {"clock_ms": self.clock()}

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        if not self.passes_fence(body):
            return self.refuse("fence")
        run = self.runs.get(task)
        if run and run.number <= number:
            self.end(run, "stopped")
        self.closed_runs[task] = max(number, self.closed_runs.get(task, 0))
        self.record.line("worker", self.name, "stop", task, number, "-> 200")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        if not self.passes_fence(body):
            return self.refuse("fence")
        self.take_deadline(body)
        cursor = body.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.fleet.noted.append((self.record.now(), end[1], end[2], end[3], self.name))
        self.ends = [end for end in self.ends if end[0] > cursor]
        if body.get("wait_ms") and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        for run in self.runs.values():
            run.update()
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[run.task, run.number, run.saved, run.percent()]
                                 for run in self.runs.values()],
                     "ended_runs": self.ends[:500]}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.up:
                message = await read_message(reader)
                if message is None:
                    break
                while self.cut and self.up:
                    await asyncio.sleep(0.02)
                line, headers, body = message
                method, path, _ = line.split(" ")
                if headers.get("target-instance", self.name) != self.name:
                    status, answer = 421, {"clock_ms": self.clock(), "born": self.born}
                elif path == "/hold":
                    status, answer = await self.hold(json.loads(body))
                elif path == "/run-start":
                    status, answer = self.start_run(json.loads(body))
                elif path == "/run-stop":
                    status, answer = self.stop_run(json.loads(body))
                elif path == "/pace":
                    status, answer = 200, {"clock_ms": self.clock()}
                elif method == "GET" and path == "/health":
                    status, answer = 200, {}
                else:
                    status, answer = 404, {}
                while self.cut and self.up:
                    await asyncio.sleep(0.02)
                if not self.up:
                    break
                if isinstance(answer, dict) and status == 200:
                    answer.setdefault("born", self.born)
                data = json.dumps(answer).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                              "Content-Length: %d\r\n\r\n" % (status, len(data))).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Fleet:
    """The workers of the service, spread over the zones."""

    def __init__(self, record, deployment, count, labels=None):
        self.record = record
        self.deployment = deployment
        self.gangs = Gangs()
        self.starts = []
        self.ended = []
        self.noted = []
        self.crashes = []
        self.spawned = []
        zones = ["uppsala", "vasteras", "orebro"]
        self.workers = []
        for at in range(count):
            own = (labels(at) if labels else []) or ["a"]
            self.workers.append(Worker(self, "i-%08x" % (0x7f3a9100 + at),
                                       "127.0.13.%d" % (at + 1), zones[at % 3],
                                       own + ["r1-%d" % (at // 8)]))

    async def start(self):
        for worker in self.workers:
            await worker.start()

    def spawn(self, work):
        self.spawned.append(asyncio.ensure_future(work))

    def stop(self):
        for task in self.spawned:
            task.cancel()
        for worker in self.workers:
            worker.stop()


def job_id(number):
    return "%016x" % (0x5c0e7a21d94b0000 + number)


def step(spec, **fields):
    one = {"count": 1, "cpu": spec.get("cpu", 500), "mem_mb": spec.get("mem_mb", 256),
           "estimated_ms": spec.get("work_ms", 500)}
    one.update(fields)
    return one


def job(spec, **fields):
    """A job of one step. The specification tells the stand-in workers what its tasks do."""
    return {"spec": json.dumps(spec), "steps": [step(spec, **fields)]}


async def play(record_path, body, controls=3, edges=2):
    record = Record(record_path)
    record.line("TROUBLE", "1" if TROUBLE else "0")
    deployment = Deployment(record, controls, edges)
    keep = os.environ.get("KEEP_LOGS")
    try:
        await deployment.start()
        broken = await body(record, deployment)
        gone = deployment.unexpected_ends()
        if gone:
            record.say("processes that are not up at the end:", gone)
        record.say("rule broken" if broken else "rule held")
        return 1 if broken else 0
    except CannotRun as problem:
        record.say("could not run:", problem)
        return 2
    finally:
        await deployment.stop(keep)


def main(record_path, body, limit=115.0, **options):
    async def limited():
        task = asyncio.ensure_future(play(record_path, body, **options))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit)
    try:
        status = asyncio.run(limited())
    except asyncio.TimeoutError:
        print("could not run: took too long", flush=True)
        status = 2
    except asyncio.CancelledError:
        print("could not run: ended by a signal", flush=True)
        status = 2
    sys.stdout.flush()
    os._exit(status)
