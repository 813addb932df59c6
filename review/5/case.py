"""A client cancels a job whose id is the highest one; then each process of the core that comes to
lead hangs, and no accepted job gets an answer any more."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))

from system import BOUNDS, CannotRun, run_case
from workers import Fleet

PREFIX = "/pule252/"
OTHER = "5c0e7a21d94b36f8"
HIGHEST = "ffffffffffffffff"
ASKED_FOR_S = 25
JOB = {"spec": "sync", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimated_ms": 500,
                                  "long_running": True}]}


async def play(system, trouble):
    fleet = Fleet(system, lambda task: None)
    await system.configure()
    await fleet.start(4)
    await asyncio.sleep(1.5)
    for job in (OTHER, HIGHEST):
        answer = await system.client("POST", PREFIX + job, JOB)
        if answer.status != 200:
            raise CannotRun(f"{job} was not accepted")
    await asyncio.sleep(1.5)
    if trouble:
        await system.client("DELETE", PREFIX + HIGHEST)
    await asyncio.sleep(BOUNDS["recovery_s"])
    until = system.now() + ASKED_FOR_S
    attempt = 0
    state = None
    while state is None and system.now() < until:
        answer = await system.client("GET", PREFIX + OTHER, edge=attempt % 2)
        state = answer.json()["state"] if answer.status == 200 else None
        attempt += 1
        await asyncio.sleep(0.5)
    for core in system.cores:
        system.record(core.name, f"has used {core.processor_s():.1f} s of processor time")
    breaks = []
    if state is None:
        breaks.append(f"LOST: the accepted job {OTHER} got no answer for {ASKED_FOR_S} s")
        runs = sum(len(fleet.running(f"{OTHER}.0.0.{number}")) for number in range(2))
        breaks.append(f"LOST: {runs} of its 2 tasks that last run, with room for them")
    await fleet.end()
    return breaks


run_case(Path(__file__).parent, play)
