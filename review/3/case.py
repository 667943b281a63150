"""A standing job loses its runner four times, each time seconds apart."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import cell as standin

JOB = "5c0e7a21d94b36f8"
CRASHES = 4


async def play(cell):
    await cell.start(hosts=3, runners=8)
    steps = [{"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 1000, "long-running": True}]
    await cell.submit(JOB, steps, [{"ms": 0}])
    task = f"{JOB}.0.0.0"

    async def wait_until_running(limit_s):
        until_ms = standin.now_ms() + limit_s * 1000
        while standin.now_ms() < until_ms:
            if cell.fleet.running(task):
                return True
            await asyncio.sleep(0.05)
        return False

    if not await wait_until_running(10):
        raise RuntimeError("the task did not start before the disruption")
    for number in range(CRASHES):
        # The task has worked for a while: it does not crash its runner by starting.
        await asyncio.sleep(3)
        state = await cell.state(JOB)
        if state == "failed":
            break
        if standin.TROUBLE:
            name = cell.fleet.runner_of(task)
            runner = next(known for known in cell.fleet.runners if known.id == name)
            runner.crash()
            await runner.restart(1.0)
            await wait_until_running(10)
    await asyncio.sleep(3)
    state = await cell.state(JOB)
    ends = [run["end"] for run in cell.fleet.runs if run["task"] == task]
    cell.record.line(f"state {state}; ends of the runs of {task}: {ends}")
    print(f"state {state}; ends of the runs: {ends}")
    return state != "failed"


standin.main(__file__, play)
