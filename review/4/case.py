"""An edge is suspended while a client hands in a job. The client gets no answer, cancels the job at
another edge and is told that there is no such job. When the edge goes on, the job runs."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))

from system import BOUNDS, run_case
from workers import Fleet

PATH = "/pule252/5c0e7a21d94b36f8"
SUSPENDED_S = 4.0
FIRST_STEP_MS = 5000
SECOND_STEP_MS = 1000
JOB = {"spec": "restock", "steps": [
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimated_ms": FIRST_STEP_MS},
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimated_ms": SECOND_STEP_MS, "depends_on": [0]}]}


async def cancel(system):
    """Cancels the job at the second edge, again until there is a clear answer; returns when."""
    while True:
        answer = await system.client("DELETE", PATH, edge=1)
        if answer.status in (200, 410):
            return system.now()
        await asyncio.sleep(0.3)


async def play(system, trouble):
    fleet = Fleet(system, lambda task: FIRST_STEP_MS if task.split(".")[2] == "0"
                  else SECOND_STEP_MS)
    await system.configure()
    await fleet.start(4)
    await asyncio.sleep(1.5)
    edge = system.edges[0]
    if trouble:
        edge.send(signal.SIGSTOP)
    suspended_at = system.now()
    await system.client("POST", PATH, JOB, edge=0)
    cancelled_at = await cancel(system)
    if trouble:
        await asyncio.sleep(max(0.0, suspended_at + SUSPENDED_S - system.now()))
        edge.send(signal.SIGCONT)
    await asyncio.sleep(14)
    await system.client("GET", PATH, edge=1)
    limit = BOUNDS["cancel_ms"] / 1000
    breaks = [f"UNASKED: {task} run {run} started on {worker} {at - cancelled_at:.3f} s after the "
              "cancel was acknowledged"
              for at, task, run, worker, _, _ in fleet.starts if at > cancelled_at + limit]
    await fleet.end()
    return breaks


run_case(Path(__file__).parent, play)
