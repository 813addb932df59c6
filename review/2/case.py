"""A job that runs once a minute for a year is accepted; then no process of the core stays within
its memory, and no accepted job gets an answer any more."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))

from system import BOUNDS, run_case
from workers import Fleet

PREFIX = "/pule252/"
SCHEDULED = "5c0e7a21d94b36f8"
MINUTES_OF_AN_HOUR = 60
MINUTES_OF_A_YEAR = 365 * 24 * 60
# For so long each accepted job is asked for at the end, again and again.
ASKED_FOR_S = 25
STEP = {"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": 500}


async def submit(system, job, body):
    """Hands a job in until it is accepted, at either edge; returns whether it was."""
    for attempt in range(6):
        answer = await system.client("POST", PREFIX + job, body, edge=attempt % 2)
        if answer.status == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def answered(system, job):
    """Asks for the state of a job until it is told; returns it, or nothing when time is up."""
    until = system.now() + ASKED_FOR_S
    attempt = 0
    while system.now() < until:
        answer = await system.client("GET", PREFIX + job, edge=attempt % 2)
        if answer.status == 200:
            return answer.json()["state"]
        attempt += 1
        await asyncio.sleep(0.5)
    return None


async def play(system, trouble):
    fleet = Fleet(system, lambda task: 500)
    await system.configure()
    await fleet.start(4)
    await asyncio.sleep(1.5)
    platform = asyncio.create_task(system.enforce_memory())
    accepted = []
    for number in range(4):
        job = f"{0x1000 + number:016x}"
        if await submit(system, job, {"spec": "sync", "steps": [STEP]}):
            accepted.append(job)
    body = {"spec": "restock", "steps": [STEP],
            "repeat_count": MINUTES_OF_A_YEAR if trouble else MINUTES_OF_AN_HOUR,
            "start_at_ms": int(time.time() * 1000) + 60_000, "interval_ms": 60_000}
    if await submit(system, SCHEDULED, body):
        accepted.append(SCHEDULED)
    await asyncio.sleep(BOUNDS["finish_s"])
    states = dict(zip(accepted, await asyncio.gather(*(answered(system, job)
                                                       for job in accepted))))
    platform.cancel()
    breaks = [f"LOST: the accepted job {job} got no answer for {ASKED_FOR_S} s"
              for job, state in states.items() if state is None]
    ended = [core.name for core in system.cores if system.memory_kills[core.name] >= 3]
    if len(ended) * 2 >= len(system.cores):
        breaks.append(f"Fault: memory over the limit three times or more on {', '.join(ended)}")
    await fleet.end()
    return breaks


run_case(Path(__file__).parent, play)
