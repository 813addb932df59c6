"""A small deployment on loopback addresses for the cases of this review.

It starts the project's own programs with the commands of deploy/system.toml and settings from its
templates, and plays the workers, the clients and the operator by PROTOCOL.md. All that is sent,
answered and run goes to record.txt of the case.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def write(self, what, /, **fields):
        at = time.monotonic() - self.begin
        rest = " ".join(f"{key}={json.dumps(value, sort_keys=True)}"
                        for key, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {rest}\n")
        self.file.flush()


# HTTP/1.1 ----------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads one message; returns its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def request(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection; returns status and body, or (None, reason)."""
    data = b"" if body is None else (body if isinstance(body, bytes)
                                     else json.dumps(body).encode())
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                    "Content-Type: application/json", "Connection: close"]
            names = {"Host": address, **(headers or {})}
            head += [f"{name}: {value}" for name, value in names.items()]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__.encode()


# Workers -----------------------------------------------------------------------------------------

class Gangs:
    """What the members of gangs know of each other: those of one run start to work together."""

    def __init__(self, timeout):
        self.timeout = timeout
        self.members = {}

    def key(self, run):
        job, occurrence, step, _ = run.task.split(".")
        return job, occurrence, step, run.number

    def join(self, run):
        self.members.setdefault(self.key(run), []).append(run)
        run.alone_at = time.monotonic() + self.timeout
        self.try_start(run)

    def try_start(self, run):
        # Only members that resume from the same value can work together.
        fellows = [one for one in self.members[self.key(run)]
                   if one.resumed_from == run.resumed_from and one.end is None]
        if len({one.task for one in fellows}) < run.plan["count"]:
            return
        for one in fellows:
            one.begin_work()
        # A worker that fails all that it starts does so without a word from the other members.
        failing = [one for one in fellows if one.worker.fails_all]
        for one in failing:
            one.finish("failed", True)
        if failing:
            for one in fellows:
                one.finish("broken", True)

    def ended(self, run, how):
        for one in self.members.get(self.key(run), []):
            if one is not run and one.end is None:
                one.finish("done" if how == "done" else "broken", True)


class Run:
    def __init__(self, worker, task, number, plan, resumed_from):
        self.worker, self.task, self.number = worker, task, number
        self.plan, self.resumed_from = plan, resumed_from
        self.end = None
        self.work_since = None
        self.alone_at = None
        self.done_before = worker.fleet.saved_work.get(resumed_from, 0.0)
        self.saved = resumed_from
        self.saved_at = self.done_before
        self.stop_at = None
        if not plan.get("gang"):
            self.begin_work()

    def begin_work(self):
        if self.work_since is None:
            self.work_since = time.monotonic()

    def worked(self):
        since = 0 if self.work_since is None else time.monotonic() - self.work_since
        return self.done_before + since

    def save(self):
        """A checkpoint: a new value of this member, from which any member may resume."""
        self.saved_at = self.worked()
        self.saved = f"{random.getrandbits(64):016x}"
        self.worker.fleet.saved_work[self.saved] = self.saved_at
        self.worker.fleet.saved_by[self.saved] = self.task

    def finish(self, how, by_gang=False):
        if self.end is not None:
            return
        self.end = how
        if how in ("stopped", "broken") and self.plan.get("checkpointing") and self.work_since:
            self.save()
        self.worker.list_end(self, how)
        if self.plan.get("gang") and not by_gang and how != "alone":
            self.worker.fleet.gangs.ended(self, how)

    def tick(self):
        now = time.monotonic()
        if self.end is not None:
            return
        if self.stop_at is not None and now >= self.stop_at:
            self.finish("stopped")
        elif self.work_since is None:
            if self.alone_at is not None and now >= self.alone_at:
                self.finish("alone")
        elif self.worker.fails_all and not self.plan.get("lasts"):
            self.finish("failed")
        elif not self.plan.get("lasts") and self.worked() >= self.plan["work_s"]:
            self.finish("done")
        elif self.plan.get("checkpointing") \
                and self.worked() - self.saved_at >= self.worker.fleet.checkpoint_s:
            self.save()


class Worker:
    """One machine; each start of it is a new worker under the same id."""

    def __init__(self, fleet, name, address, zone, rack):
        self.fleet, self.name, self.address = fleet, name, address
        self.zone, self.rack = zone, rack
        self.capacity = {"cpu": 32000, "mem_mb": 128000, "gpu": 0}
        self.server = None
        self.fails_all = False
        self.refuses = False
        self.tasks = []
        self.connections = set()
        self.born = 0

    async def start(self):
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.zero = time.monotonic()
        self.fence, self.deadline, self.sequence = 0, 0, 0
        self.runs, self.highest, self.ends, self.end_count = {}, {}, [], 0
        self.changed = asyncio.Event()
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch())]
        self.fleet.record.write("worker-up", worker=self.name, born=self.born)

    def crash(self):
        """The process is gone at once, with all that it ran and knew."""
        self.fleet.record.write("worker-crashes", worker=self.name,
                                runs=[f"{r.task}/{r.number}" for r in self.runs.values()])
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.connections):
            writer.transport.abort()
        for run in list(self.runs.values()):
            run.end = "crashed"
            if run.plan.get("gang"):
                self.fleet.gangs.ended(run, "crashed")
        self.runs = {}

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def list_end(self, run, how):
        self.runs.pop(run.task, None)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, run.saved])
        self.fleet.on_end(self, run, how)
        self.changed.set()

    async def watch(self):
        while True:
            await asyncio.sleep(0.02)
            for run in list(self.runs.values()):
                if self.clock() > self.deadline:
                    run.finish("lapsed")
                else:
                    run.tick()

    async def beat(self):
        target = None
        while True:
            self.sequence += 1
            body = {"service": self.fleet.service, "address": self.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": self.capacity, "labels": ["a", self.rack],
                    "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}
            for address in [target] * (target is not None) + random.sample(self.fleet.control,
                                                                           len(self.fleet.control)):
                status, answer = await request(address, "PUT", f"/instances/{self.name}", body,
                                               timeout=1.0)
                if status == 200:
                    target = json.loads(answer or b"{}").get("heartbeat_addr")
                    break
                target = None
            await asyncio.sleep(1.1)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                path = line.split(" ")[1]
                status, answer = await self.handle(path, headers,
                                                   json.loads(body) if body else {})
                data = json.dumps({"clock_ms": self.clock(), **answer}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def reports(self):
        rows = [[r.task, r.number, r.saved if r.saved else "",
                 100 if r.plan.get("lasts") and r.work_since else
                 min(99, int(100 * r.worked() / max(r.plan["work_s"], 0.001)))
                 if r.work_since else 0, r.plan.get("cpu", 0)] for r in self.runs.values()]
        return {"born": self.born, "running": rows, "ended_runs": self.ends[:500]}

    async def handle(self, path, headers, body):
        if headers.get("target-instance", self.name) != self.name:
            return 421, {}
        if path == "/health":
            return 200, {}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if path == "/hold":
            cursor = body.get("ack_cursor", 0)
            self.fleet.note_acknowledged(self, [e for e in self.ends if e[0] <= cursor])
            self.ends = [end for end in self.ends if end[0] > cursor]
            self.extend(body)
            if body.get("wait_ms") and not self.ends:
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), body["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, self.reports()
        if path == "/run-start" and self.refuses:
            self.fleet.record.write("start-refused", worker=self.name, task=body["task"],
                                    run=body["run"], status=503)
            return 503, {}
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            run = self.runs.get(body["task"])
            self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run"])
            self.fleet.record.write("stop", worker=self.name, task=body["task"], run=body["run"],
                                    there=run is not None)
            if run is not None and run.number <= body["run"] and run.stop_at is None:
                run.stop_at = time.monotonic() + self.fleet.stop_grace_s / 2
            return 200, {}
        if path == "/pace":
            return 200, {}
        return 400, {}

    def extend(self, body):
        if "deadline_ms" in body:
            longest = self.clock() + self.fleet.max_hold_ms
            self.deadline = max(self.deadline, min(body["deadline_ms"], longest))

    def run_start(self, body):
        task, number = body["task"], body["run"]
        outcome = self.judge_start(body, task, number)
        self.fleet.on_start(self, body, outcome)
        return (200, {}) if outcome in ("started", "there") else (409, {"reason": outcome})

    def judge_start(self, body, task, number):
        there = self.runs.get(task)
        if there is not None and there.number == number:
            return "there"
        if body["deadline_ms"] <= self.clock():
            return "late"
        self.extend(body)
        if number <= self.highest.get(task, 0):
            return "old"
        job, _, step, _ = task.split(".")
        plans = json.loads(body["spec"])
        plan = plans[min(int(step), len(plans) - 1)]
        used = {kind: sum(r.plan.get(kind, 0) for r in self.runs.values())
                for kind in ("cpu", "mem_mb", "gpu")}
        if any(used[kind] + plan.get(kind, 0) > self.capacity[kind] for kind in used):
            return "room"
        self.highest[task] = number
        run = Run(self, task, number, plan, body.get("last_checkpoint", ""))
        self.runs[task] = run
        if plan.get("gang"):
            self.fleet.gangs.join(run)
        return "started"


class Fleet:
    """The workers of one service."""

    def __init__(self, record, service, control):
        self.record, self.service, self.control = record, service, control
        self.checkpoint_s, self.stop_grace_s, self.max_hold_ms = 1.0, 0.9, 10000
        self.gangs = Gangs(3.0)
        self.saved_work, self.saved_by = {"": 0.0}, {}
        self.workers = []
        self.starts, self.ends, self.acknowledged = [], [], []

    def on_start(self, worker, body, outcome):
        self.starts.append({"at": time.time(), "worker": worker.name, "task": body["task"],
                            "run": body["run"], "from": body.get("last_checkpoint", ""),
                            "outcome": outcome, "spec": body["spec"]})
        self.record.write("start", worker=worker.name, task=body["task"], run=body["run"],
                          last_checkpoint=body.get("last_checkpoint", ""), outcome=outcome)

    def on_end(self, worker, run, how):
        self.ends.append({"at": time.time(), "worker": worker.name, "task": run.task,
                          "run": run.number, "how": how, "saved": run.saved})
        self.record.write("end", worker=worker.name, task=run.task, run=run.number, how=how,
                          saved=run.saved)

    def note_acknowledged(self, worker, ends):
        for end in ends:
            self.acknowledged.append({"at": time.time(), "worker": worker.name, "task": end[1],
                                      "run": end[2], "how": end[3]})

    async def add(self, count, ip_of, racks=3):
        for number in range(count):
            worker = Worker(self, f"i-{number:04d}", f"{ip_of(number)}:8080",
                            ("uppsala", "vasteras", "orebro")[number % 3], f"r{number % racks}")
            self.workers.append(worker)
            await worker.start()


# The system --------------------------------------------------------------------------------------

def render(template, fields):
    """Fills the placeholders of the deploy file's templates."""
    def value(path):
        found = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part)
            if found is None:
                return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if fields.get(m[1]) else "", template, flags=re.S)
    text = re.sub(r"\{\{\^(\w+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: "" if fields.get(m[1]) else m[2], text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: value(m[1]), text)


class Program:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, deployment, role, name, ip, fields):
        self.deployment, self.name, self.ip = deployment, name, ip
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"][role]
        self.fields = {"node_name": name, "ip": ip, **fields}
        self.process = None
        self.settings = os.path.join(deployment.folder, name + ".ini")

    async def start(self, bootstrap=False):
        if self.deployment.stopping:
            return
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), {**self.fields, "bootstrap": bootstrap})
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = self.role["run"].split()
        words[words.index("--settings") + 1] = self.settings
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.deployment.record.write("process-started", process=self.name, pid=self.process.pid)

    def signal(self, number):
        self.deployment.record.write("signal", process=self.name,
                                     signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def runs(self):
        return self.process is not None and self.process.returncode is None

    def memory_mb(self, field="VmHWM"):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None


def claim_network():
    """Returns a part of the loopback network that no other case uses, with the socket that claims
    it for as long as it is open."""
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        claim = socket.socket()
        try:
            claim.bind((net + ".254", 7700))
            claim.listen()
            return net, claim
        except OSError:
            claim.close()
    raise CouldNotRun("no free part of the loopback network")


class Deployment:
    """Core and edge programs, workers, an operator and clients."""

    HOST = "nony24.example"
    PREFIX = "/jobs/"

    def __init__(self, record, cores=5, edges=2, workers=6, memory_mb=256, max_attempts=2):
        self.record = record
        self.net, self.claim = claim_network()
        self.stopping = False
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.max_attempts = max_attempts
        seeds = [f"{self.net}.{n}:8166" for n in range(1, min(cores, 3) + 1)]
        limits = {"max_fds": 4096, "memory_mb": memory_mb}
        self.cores = [Program(self, "mango-control", f"core-{n}", f"{self.net}.{n}",
                              {"internal_ports": [7720, 7735], "seeds": seeds, "limits": limits,
                               "data_dir": os.path.join(self.folder, f"data-{n}"),
                               "listen_addrs": {"control": f"{self.net}.{n}:8166"}})
                      for n in range(1, cores + 1)]
        self.edges = [Program(self, "mango-edge", f"edge-{n}", f"{self.net}.{20 + n}",
                              {"internal_ports": [7720, 7735], "seeds": seeds,
                               "limits": {"max_fds": 4100, "memory_mb": 260},
                               "listen_addrs": {"frontend": f"{self.net}.{20 + n}:8161",
                                                "readiness": f"{self.net}.{20 + n}:8167"}})
                      for n in range(1, edges + 1)]
        self.control = [f"{program.ip}:8166" for program in self.cores]
        self.frontends = [f"{program.ip}:8161" for program in self.edges]
        self.fleet = Fleet(record, "huvo11a", self.control)
        self.worker_count = workers

    def configuration(self, version):
        return {"version": version,
                "routes": [{"name": "r-1", "host": self.HOST, "path_prefix": self.PREFIX,
                            "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
                            "priority": 0, "service": "huvo11a",
                            "max_attempts": self.max_attempts, "stretch": 2.0}],
                "services": [{"name": "huvo11a", "health_path": "/health", "max_conns": 64,
                              "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                              "cold_per_s": 0.0, "enforces_capacity": True, "spare": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def start(self):
        for program in self.cores + self.edges:
            await program.start(bootstrap=True)
        await self.fleet.add(self.worker_count, lambda n: f"{self.net}.{31 + n}")
        await self.configure(1)
        for _ in range(100):
            states = [(await request(f"{e.ip}:8167", "GET", "/readiness"))[0] for e in self.edges]
            if states and all(state == 200 for state in states):
                await asyncio.sleep(1.5)
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun("the edges did not become ready")

    async def configure(self, version):
        for _ in range(150):
            for address in self.control:
                status, _ = await request(address, "PUT", "/config", self.configuration(version),
                                          timeout=1.0)
                if status == 200:
                    self.record.write("configuration-acknowledged", version=version, by=address)
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRun("no configuration was acknowledged")

    async def enforce_memory(self, program, limit_mb, on_end):
        """The platform: ends a process that uses more than its machine has, and starts it again."""
        while True:
            await asyncio.sleep(0.05)
            peak = program.memory_mb()
            if program.runs() and peak is not None and peak > limit_mb:
                self.record.write("over-memory", process=program.name, peak_mb=round(peak),
                                  limit_mb=limit_mb)
                program.signal(signal.SIGKILL)
                await program.process.wait()
                on_end(program)
                await asyncio.sleep(1.0)
                await program.start()

    async def leader(self):
        """The core program that the workers' orders come from, by its own metrics page."""
        for program in self.cores:
            if not program.runs():
                continue
            with open(os.path.join(self.folder, program.name + ".log"), errors="replace") as file:
                text = file.read()
            begun, ended = text.rfind("leadership-begins"), text.rfind("leadership-ends")
            started = text.rfind('"started"')
            if begun > max(ended, -1) and begun >= 0 and begun > started - 10 ** 9:
                return program
        return None

    async def submit(self, job, body, tries=4):
        """A client: repeats the submission as PROTOCOL.md tells; returns the statuses it saw."""
        seen = []
        for number in range(tries):
            address = random.choice(self.frontends)
            status, answer = await request(address, "POST", self.PREFIX + job, body,
                                           {"Host": self.HOST, "Deadline-Ms": "3000"}, 3.2)
            seen.append(status)
            self.record.write("submitted", job=job, to=address, status=status,
                              answer=answer.decode("latin-1")[:200])
            if status is not None and (200 <= status < 300 or status in (400, 404)):
                break
            await asyncio.sleep(0.3 * (number + 1))
        return seen

    async def state(self, job):
        status, answer = await request(random.choice(self.frontends), "GET", self.PREFIX + job,
                                       None, {"Host": self.HOST, "Deadline-Ms": "3000"}, 3.2)
        text = answer.decode("latin-1")
        self.record.write("asked", job=job, status=status, answer=text[:200])
        return status, (json.loads(text).get("state") if status == 200 else None)

    async def await_state(self, job, wanted, timeout):
        end = time.monotonic() + timeout
        state = None
        while time.monotonic() < end:
            _, state = await self.state(job)
            if state in wanted:
                return state
            await asyncio.sleep(0.25)
        return state

    async def stop(self):
        # A program that is being started is known to its Program object shortly afterwards.
        self.stopping = True
        await asyncio.sleep(0.3)
        for worker in self.fleet.workers:
            for task in worker.tasks:
                task.cancel()
        for program in self.cores + self.edges:
            if program.runs():
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
                await program.process.wait()
        self.claim.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return f"{random.getrandbits(64):016x}"


def steps_of(plans):
    """The steps of a job, as a client submits them, and the spec that tells the workers of them."""
    steps = []
    for plan in plans:
        step = {"count": plan["count"], "cpu": plan.get("cpu", 1000),
                "mem_mb": plan.get("mem_mb", 256),
                "estimated_ms": max(1, int(plan.get("work_s", 1) * 1000))}
        for name in ("gang", "checkpointing", "anti_affinity", "depends_on", "allow_duplicates",
                     "requirements"):
            if plan.get(name):
                step[name] = plan[name]
        if plan.get("lasts"):
            step["long_running"] = True
        steps.append(step)
    filled = [{"cpu": 1000, "mem_mb": 256, **plan} for plan in plans]
    return {"spec": json.dumps(filled), "steps": steps}


def main(case_file, play, limit_s=115):
    """Runs a case. `play` returns the broken rules as texts; an empty list when the rule held."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt"))
    record.write("begin", trouble=TROUBLE)
    status = EXIT_COULD_NOT_RUN
    deployments = []

    def make(**options):
        deployments.append(Deployment(record, **options))
        return deployments[-1]

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await asyncio.wait_for(play(record, make), limit_s)
        finally:
            for one in deployments:
                await one.stop()

    try:
        broken = asyncio.run(run())
        for text in broken:
            record.write("rule-broken", text=text)
            print("broken:", text)
        status = EXIT_BROKEN if broken else EXIT_HELD
    except (Exception, asyncio.CancelledError) as error:  # Whatever stopped the play, the rule was not judged.
        record.write("could-not-run", reason=f"{type(error).__name__}: {error}")
        print("could not run:", type(error).__name__, error)
    print("result:", {EXIT_HELD: "held", EXIT_BROKEN: "broken",
                      EXIT_COULD_NOT_RUN: "could not run"}[status], "trouble:", TROUBLE)
    sys.exit(status)
