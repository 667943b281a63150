"""A caller cancels a job whose submission waits in a host that stands still."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import cell as standin

JOB = "7a31c09e55d2b846"
FREEZE_S = 4.0
TIME_BUDGET_S = 3.0


async def play(cell):
    await cell.start(hosts=3, runners=8)
    leader = await cell.wait_for_leader()
    frozen, other = [host for host in cell.hosts if host is not leader]
    steps = [{"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 5000},
             {"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 5000, "after": [0]}]
    spec = '{"steps":{"0":{"ms":5000},"1":{"ms":5000}}}'

    # The only disruption: a host that does not lead stands still for 4 s and wakes again.
    frozen_ms = standin.now_ms()
    if standin.TROUBLE:
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    status, _ = await cell.call("POST", JOB, {"spec": spec, "steps": steps}, host=frozen)
    if status == 0:
        cell.record.line(f"caller: no answer within {TIME_BUDGET_S} s, cancels the job")
    acked_ms = None
    for _ in range(5):
        status, _ = await cell.call("DELETE", JOB, host=other)
        if 200 <= status < 300 or status == 410:
            acked_ms = standin.now_ms()
            break
        await asyncio.sleep(0.2)
    if acked_ms is None:
        raise RuntimeError("the cancelling was not acknowledged")
    await asyncio.sleep(max(0.0, FREEZE_S - (standin.now_ms() - frozen_ms) / 1000))
    if standin.TROUBLE:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(16)

    await cell.state(JOB)
    held = True
    for run in cell.fleet.runs:
        late_ms = run["begun_ms"] - acked_ms
        if run["task"].startswith(JOB) and late_ms > standin.BOUNDS["cancel_ms"]:
            cell.record.line(
                f"start of {run['task']} {late_ms:.0f} ms after the ack of the cancelling")
            print(f"start of {run['task']} {late_ms:.0f} ms after the ack of the cancelling")
            held = False
    return held


standin.main(__file__, play)
