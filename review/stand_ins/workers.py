"""Workers that speak the worker's part of PROTOCOL.md ("Running tasks", "Service discovery").

All workers of a case live in one process and share a fleet, which keeps what was started and how
it ended."""

import asyncio
import json
import re
import time

from system import BOUNDS, HEARTBEAT_S, SERVICE, ZONES, request


class Fleet:
    """What all workers of a case have seen. `work_ms` gives the run time of a task from its name;
    None for a task that lasts."""

    def __init__(self, system, work_ms):
        self.system, self.work_ms = system, work_ms
        self.workers = []
        # (time, task, run, worker, spec, checkpoint)
        self.starts = []
        # (time, task, run, worker, how)
        self.ends = []
        # The number of members of a gang by ID.K.STEP.
        self.gangs = {}

    def add(self, name, **options):
        worker = Worker(self, name, **options)
        self.workers.append(worker)
        return worker

    async def start(self, count, **options):
        for number in range(count):
            await self.add(f"i-{number:08x}", zone=ZONES[number % 3], rack=f"r1-{number // 8}",
                           **options).begin()

    async def end(self):
        for worker in self.workers:
            await worker.crash()

    def running(self, task):
        return [worker for worker in self.workers if worker.up and task in worker.runs]

    def members_of(self, run):
        """The runs of the same gang that are present on any worker that is up."""
        return [other for worker in self.workers if worker.up for other in worker.runs.values()
                if other.group == run.group and other.number == run.number]


class Run:
    def __init__(self, worker, task, number, spec, checkpoint):
        self.worker, self.task, self.number, self.spec = worker, task, number, spec
        self.group = task.rsplit(".", 1)[0]
        self.begun = time.monotonic()
        self.checkpoint = checkpoint
        # The work that the checkpoint stands for; a checkpoint ends with it in hexadecimal.
        self.base_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.restore_ms = BOUNDS["restore_ms"] if checkpoint else 0
        self.worked_from = None
        self.stop_at = None

    def worked_ms(self):
        if self.worked_from is None:
            return self.base_ms
        spent = (time.monotonic() - self.worked_from) * 1000 - self.restore_ms
        return self.base_ms + max(0, spent)


class Worker:
    """One machine; begin() starts a life of its worker and crash() ends it."""

    def __init__(self, fleet, name, zone=ZONES[0], rack="r1-0", cpu=32000, mem_mb=125000,
                 checkpoints=False, guards=True):
        self.fleet, self.system, self.name = fleet, fleet.system, name
        self.zone, self.rack, self.cpu, self.mem_mb = zone, rack, cpu, mem_mb
        self.checkpoints, self.guards = checkpoints, guards
        self.up = False
        self.sizes = {}
        self.tasks = []
        self.writers = set()

    async def begin(self):
        self.up = True
        self.draining = False
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence, self.hold_until, self.sequence = 0, 0, 0
        self.runs, self.ended, self.last_end, self.past = {}, [], 0, {}
        self.beat_address = None
        self.acknowledged = False
        self.changed = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, self.system.worker_ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def crash(self):
        if not self.up:
            return
        self.up = False
        runs, self.runs = self.runs, {}
        for run in runs.values():
            self.fleet.ends.append((self.system.now(), run.task, run.number, self.name, "crash"))
            self.break_gang(run, "broken")
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    # Service discovery.

    async def send_beat(self, nodes=None):
        self.sequence += 1
        body = {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": "draining" if self.draining else "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": getattr(self, "labels", ["a", self.rack]), "clock_ms": self.clock_ms(), "born": self.born,
                "sequence": self.sequence}
        if self.draining:
            body["remaining_ms"] = BOUNDS["drain_ms"]
        addresses = [self.system.control(number)
                     for number in (nodes or range(len(self.system.cores)))]
        if self.beat_address and not nodes:
            addresses.insert(0, self.beat_address)
        for address in addresses:
            answer = await request("PUT", address, f"/instances/{self.name}", body, timeout=1)
            if answer.status is not None and 200 <= answer.status < 300:
                named = answer.json().get("heartbeat_addr") if answer.body else None
                if named:
                    ip, port = named.rsplit(":", 1)
                    self.beat_address = (ip, int(port))
                self.acknowledged = True
                return True
            self.beat_address = None
        return False

    async def beat(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    # Runs.

    def finish(self, run, how):
        del self.runs[run.task]
        if how in ("stopped", "broken") and self.checkpoints and run.worked_from is not None:
            self.save(run)
        self.past[run.task] = max(self.past.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, run.checkpoint])
        self.fleet.ends.append((self.system.now(), run.task, run.number, self.name, how))
        self.system.record(self.name, f"end {self.last_end} of {run.task} run {run.number}: {how}"
                                      f" {run.checkpoint}")
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self, run):
        run.checkpoint = "%08x%s" % (int(run.worked_ms()), run.task.rsplit(".", 1)[1].zfill(8))

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.runs and self.clock_ms() > self.hold_until:
                for run in list(self.runs.values()):
                    self.finish(run, "lapsed")
            for run in list(self.runs.values()):
                if run.task not in self.runs:
                    continue
                size = self.fleet.gangs.get(run.group)
                if run.stop_at is not None and now >= run.stop_at:
                    self.finish(run, "stopped")
                    self.break_gang(run, "broken")
                    continue
                if run.worked_from is None:
                    if size is None or len(self.fleet.members_of(run)) >= size:
                        run.worked_from = now
                    elif now - run.begun > BOUNDS["gang_timeout_ms"] / 1000:
                        self.finish(run, "alone")
                        continue
                    else:
                        continue
                saved = int(run.checkpoint[:8], 16) if run.checkpoint else 0
                if self.checkpoints and run.worked_ms() - saved >= BOUNDS["checkpoint_s"] * 1000:
                    self.save(run)
                work_ms = self.fleet.work_ms(run.task)
                if work_ms is not None and run.worked_ms() >= work_ms:
                    self.finish(run, "done")
                    self.break_gang(run, "done")

    def break_gang(self, run, how):
        if run.group in self.fleet.gangs:
            for other in self.fleet.members_of(run):
                other.worker.finish(other, how)

    def used(self):
        cpu = mem = 0
        for task in self.runs:
            one = self.sizes.get(task.rsplit(".", 1)[0], (0, 0))
            cpu, mem = cpu + one[0], mem + one[1]
        return cpu, mem

    def grant(self, body):
        if "deadline_ms" in body:
            limit = self.clock_ms() + BOUNDS["max_hold_ms"]
            self.hold_until = max(self.hold_until, min(body["deadline_ms"], limit))

    def order(self, path, body):
        """Carries out an order; returns status and body."""
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        task, number = body.get("task"), body.get("run")
        if path == "/run-start":
            present = self.runs.get(task)
            if present is not None and present.number == number:
                self.grant(body)
                return 200, {}
            if number <= self.past.get(task, 0) or present is not None:
                self.grant(body)
                return 409, {"reason": "old"}
            if self.clock_ms() > body["deadline_ms"]:
                return 409, {"reason": "late"}
            self.grant(body)
            checkpoint = body.get("last_checkpoint", "")
            self.runs[task] = Run(self, task, number, body["spec"], checkpoint)
            self.fleet.starts.append((self.system.now(), task, number, self.name, body["spec"],
                                      checkpoint))
            self.system.record(self.name, f"started {task} run {number} {checkpoint}")
            return 200, {}
        if path == "/run-stop":
            present = self.runs.get(task)
            if present is None or present.number > number:
                self.past[task] = max(self.past.get(task, 0), number)
            elif present.stop_at is None:
                present.stop_at = time.monotonic() + BOUNDS["stop_grace_ms"] / 2000
            return 200, {}
        if path == "/pace":
            return 200, {}
        return 400, {}

    async def hold(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        self.grant(body)
        self.ended = [end for end in self.ended if end[0] > body.get("ack_cursor", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        rows = []
        for run in self.runs.values():
            work_ms = self.fleet.work_ms(run.task)
            started = run.worked_from is not None
            percent = (100 if started else 0) if work_ms is None else \
                min(99, int(run.worked_ms() * 100 / max(1, work_ms)))
            rows.append([run.task, run.number, run.checkpoint, percent, 0])
        return 200, {"running": rows, "ended_runs": self.ended[:500], "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        born = self.born
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path = head.split(b"\r\n")[0].decode().split()[:2]
                length = re.search(rb"content-length: *(\d+)", head, re.I)
                body = await reader.readexactly(int(length[1])) if length else b""
                target = re.search(rb"target-instance: *([^\r]*)", head, re.I)
                if born != self.born or not self.up:
                    return
                if method == "GET":
                    status, answer = 200, {}
                elif target and target[1].decode() != self.name:
                    status, answer = 421, {}
                elif path == "/hold":
                    status, answer = await self.hold(json.loads(body))
                else:
                    status, answer = self.order(path, json.loads(body))
                if born != self.born or not self.up:
                    return
                text = json.dumps(answer | {"clock_ms": self.clock_ms()}).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
