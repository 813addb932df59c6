"""A cancel under a removed route is acknowledged, and the job runs on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import stand_ins as s  # noqa: E402

HOST = "nony24.example"
QUEUE = "/"

INNER = "/pule252/"


async def body(record, deployment):
    fleet = s.Fleet(record, deployment, 12)
    operator = s.Operator(record, deployment)
    client = s.Client(record, deployment, HOST)
    try:
        await fleet.start()
        outer = {"host": HOST, "path_prefix": QUEUE}
        inner = {"host": HOST, "path_prefix": INNER}
        await operator.order("PUT", "/config", s.configuration(7, [outer, inner]))
        await asyncio.sleep(4)
        path = INNER + s.job_id(1)
        spec = {"work_ms": 4000, "cpu": 1000, "mem_mb": 256}
        await client.submit(path, {"spec": s.json.dumps(spec), "steps": [
            s.step(spec, count=4), s.step(spec, count=4, depends_on=[0]),
            s.step(spec, count=4, depends_on=[1])]})
        await asyncio.sleep(1)
        if s.TROUBLE:
            await operator.order("PUT", "/config", s.configuration(12, [outer]))
        await asyncio.sleep(s.CONFIG_APPLY + 0.5)
        status, answer = await client.call("DELETE", path)
        acknowledged = record.now()
        await asyncio.sleep(12)
        late = [one for one in fleet.starts if one[0] > acknowledged + s.CANCEL]
        record.say("cancel answered", status, "starts later than cancel_ms after it:", len(late))
        return (200 <= status < 300 or status == 410) and bool(late)
    finally:
        fleet.stop()


s.main(os.path.join(HERE, "record.txt"), body)
