"""Starts the programs of the deploy file on loopback, as the platform of PROTOCOL.md would, and
ends them again. The settings are rendered from the templates in deploy/, with the bounds of
sites/lindqvist-mw.toml."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# The bounds of sites/lindqvist-mw.toml, as SYSTEM.md lists them.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
    "evacuate_ms": 5000, "recovery_s": 12, "max_hold_ms": 10000, "stop_grace_ms": 900,
    "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14,
    "checkpoint_s": 1, "restore_ms": 600,
}
# The memory of a machine, by class.
MEMORY_MB = {"core": 256, "edge": 260}
HEARTBEAT_S = 1.1
SERVICE = "huvo11a"
ZONES = ["uppsala", "vasteras", "orebro"]


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _lookup(context, name):
    value = context
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, context):
    """Fills in a template as DEPLOY.md describes; only what deploy/*.ini uses."""

    def section(match):
        present = bool(_lookup(context, match[2]))
        return match[3] if present == (match[1] == "#") else ""

    def value(match):
        found = _lookup(context, match[1])
        if isinstance(found, list):
            return ",".join(str(one) for one in found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Process:
    """One process of the system, with its settings file and its log."""

    def __init__(self, system, role, name, ip, fields):
        self.system, self.role, self.name, self.ip, self.fields = system, role, name, ip, fields
        self.popen = None
        self.log_path = system.folder / f"{name}.log"

    def start(self, bootstrap):
        role = self.system.deploy["roles"][self.role]
        self.fields["bootstrap"] = bootstrap
        settings = self.system.folder / f"{self.name}.ini"
        settings.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        command = [word if word != "/etc/mangoworks/settings.toml" else str(settings)
                   for word in role["run"].split()]
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)

    def send(self, number):
        self.system.record("platform", f"{signal.Signals(number).name} to {self.name}")
        self.popen.send_signal(number)

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def resident_mb(self):
        """The memory that the process uses; 0 when it does not run."""
        try:
            status = Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0

    def processor_s(self):
        """The processor time that the process has used."""
        try:
            fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log(self):
        return self.log_path.read_text(errors="replace")


class System:
    """A small deployment: `cores` control machines and `edges` edge machines, one process each."""

    def __init__(self, case_folder, cores=3, edges=2):
        self.case_folder = Path(case_folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="mango-review-")
        self.folder = Path(self.temporary.name)
        self.record_file = open(self.case_folder / "record.txt", "w")
        self.begun = time.monotonic()
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        # A block of loopback addresses of its own, so that the fixed metrics ports do not collide.
        block = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        ips = [f"{block}.{10 + number}" for number in range(cores + edges)]
        self.control_port = free_port(ips[0])
        self.internal_port = free_port(ips[0])
        self.frontend_port = free_port(ips[0])
        self.readiness_port = free_port(ips[0])
        seeds = [f"{ip}:{self.control_port}" for ip in ips[:min(cores, 3)]]
        self.cores, self.edges = [], []
        for number, ip in enumerate(ips):
            core = number < cores
            name = f"{'core' if core else 'edge'}-{number if core else number - cores}"
            fields = {
                "node_name": name, "ip": ip, "zone": ZONES[number % 3], "seeds": seeds,
                "internal_ports": [self.internal_port, self.internal_port + 15],
                "listen_addrs": {"control": f"{ip}:{self.control_port}",
                                 "frontend": f"{ip}:{self.frontend_port}",
                                 "readiness": f"{ip}:{self.readiness_port}"},
                "limits": {"max_fds": 4096 if core else 4100,
                           "memory_mb": MEMORY_MB["core" if core else "edge"]},
                "data_dir": str(self.folder / f"{name}-data"),
            }
            role = "mango-control" if core else "mango-edge"
            (self.cores if core else self.edges).append(Process(self, role, name, ip, fields))
        self.worker_ip = f"{block}.200"

    def now(self):
        return time.monotonic() - self.begun

    def record(self, who, what):
        self.record_file.write(f"{self.now():8.3f} {who}: {what}\n")
        self.record_file.flush()

    def control(self, number=0):
        return self.cores[number].ip, self.control_port

    def frontend(self, number=0):
        return self.edges[number].ip, self.frontend_port

    def leader(self):
        """The core process whose log shows the latest begin of a leadership."""
        best, found = -1, None
        for core in self.cores:
            for term in re.findall(r"leadership-begins.*?term\W+(\d+)", core.log()):
                if int(term) > best:
                    best, found = int(term), core
        return found

    async def start(self):
        for process in self.cores + self.edges:
            process.start(bootstrap=True)
        deadline = self.now() + 15
        for edge in self.edges:
            while True:
                if self.now() > deadline:
                    raise CannotRun(f"{edge.name} did not become ready")
                answer = await request("GET", (edge.ip, self.readiness_port), "/readiness",
                                       timeout=1)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.2)
        self.record("platform", "the system is ready")

    async def enforce_memory(self):
        """Kills each process that uses more than its memory, as DEPLOY.md says, and starts it again
        after a second. Returns never; counts the kills of each process in `memory_kills`."""
        self.memory_kills = {process.name: 0 for process in self.cores + self.edges}
        starts_at = {}
        while True:
            await asyncio.sleep(0.05)
            for process in self.cores + self.edges:
                if process.is_running():
                    used = process.resident_mb()
                    if used > process.fields["limits"]["memory_mb"]:
                        self.record("platform", f"{process.name} uses {used:.0f} MB of "
                                                f"{process.fields['limits']['memory_mb']}")
                        process.send(signal.SIGKILL)
                        process.popen.wait()
                        self.memory_kills[process.name] += 1
                        starts_at[process.name] = self.now() + 1
                elif self.now() >= starts_at.get(process.name, float("inf")):
                    del starts_at[process.name]
                    process.start(bootstrap=False)

    def stop(self):
        for process in self.cores + self.edges:
            if process.is_running():
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.cores + self.edges:
            if process.popen is not None:
                process.popen.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for process in self.cores + self.edges:
                if process.log_path.exists():
                    (Path(keep) / process.log_path.name).write_bytes(
                        process.log_path.read_bytes())
        self.record_file.close()
        self.temporary.cleanup()

    # The operator's and the clients' calls.

    async def configure(self, version=1, routes=None, services=None):
        body = {"version": version, "routes": routes or [route()],
                "services": services or [service()],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        await self.operator("PUT", "/config", body)

    async def operator(self, method, path, body=None, nodes=None, limit_s=15):
        """Sends an order again, to other nodes, until it is acknowledged."""
        deadline = self.now() + limit_s
        attempt = 0
        nodes = nodes or list(range(len(self.cores)))
        while self.now() < deadline:
            number = nodes[attempt % len(nodes)]
            attempt += 1
            sent = self.now()
            answer = await request(method, self.control(number), path, body, timeout=1)
            self.record("operator", f"{method} {path} to {self.cores[number].name}, sent at "
                                    f"{sent:.3f}: {answer}")
            if answer.status is not None and 200 <= answer.status < 300:
                return answer
            await asyncio.sleep(min(0.1 * attempt, 1))
        raise CannotRun(f"{method} {path} was not acknowledged")

    async def client(self, method, path, body=None, edge=0, deadline_s=3.0, quiet=False):
        """One call of a client, which waits for the answer until its deadline."""
        headers = {"Host": route()["host"], "Deadline-Ms": str(int(deadline_s * 1000))}
        sent = self.now()
        answer = await request(method, self.frontend(edge), path, body, headers, deadline_s)
        if not quiet:
            self.record("client", f"{method} {path} to {self.edges[edge].name}, sent at "
                                  f"{sent:.3f}: {answer}")
        return answer


def route(**changes):
    plain = {"name": "r-73hh2b9", "host": "nony24.example", "path_prefix": "/pule252/",
             "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0,
             "service": SERVICE, "max_attempts": 3, "stretch": 2.2}
    return plain | changes


def service(**changes):
    plain = {"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1",
             "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": True,
             "spare": False}
    return plain | changes


class Answer:
    """The answer to a request; without a status when none came."""

    def __init__(self, status, body, why=""):
        self.status, self.body, self.why = status, body, why

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.why})"
        return f"{self.status} {self.body[:200]}"

    def json(self):
        return json.loads(self.body)


async def _exchange(method, address, path, body, headers):
    reader, writer = await asyncio.open_connection(*address)
    try:
        payload = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in
                  ({"Host": f"{address[0]}:{address[1]}"} | (headers or {})).items()]
        if payload:
            lines.append("Content-Type: application/json")
        lines += [f"Content-Length: {len(payload)}", "Connection: close"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        length = re.search(rb"content-length: *(\d+)", head, re.I)
        text = await reader.readexactly(int(length[1])) if length else await reader.read()
        return Answer(status, text.decode(errors="replace"))
    finally:
        writer.close()


async def request(method, address, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own; the connection is closed at the time limit."""
    try:
        return await asyncio.wait_for(_exchange(method, address, path, body, headers), timeout)
    except asyncio.TimeoutError:
        return Answer(None, "", f"after {timeout:g} s")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(None, "", type(error).__name__)


def run_case(case_folder, play, **sizes):
    """Runs play(system, trouble) and exits with 1 if it returns the breaks of the rule, 0 if it
    returns none, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes are also ended when the case itself is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def main():
        system = System(case_folder, **sizes)
        system.record("case", f"TROUBLE={'1' if trouble else '0'}")
        try:
            await system.start()
            breaks = await asyncio.wait_for(play(system, trouble), 95)
            for line in breaks:
                system.record("rule broken", line)
                print("rule broken:", line)
            system.record("case", "the rule was broken" if breaks else "the rule held")
            return 1 if breaks else 0
        except Exception as error:  # A fault of the case itself says nothing about the rule either.
            system.record("case", f"could not run: {error!r}")
            print("could not run:", repr(error), file=sys.stderr)
            return 2
        finally:
            system.stop()

    sys.exit(asyncio.run(main()))
