"""A gang that saves checkpoints loses one of its runners."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import cell as standin

JOB = "c4d0517fa9e2638b"
MEMBERS = 6


async def play(cell):
    await cell.start(hosts=3, runners=8, cpu=4000)
    steps = [{"count": MEMBERS, "cpu": 3000, "mem-mb": 512, "estimate-ms": 15000, "gang": True,
              "checkpointing": True}]
    await cell.submit(JOB, steps, [{"ms": 15000, "gang": MEMBERS, "checkpoints": True}])
    await asyncio.sleep(6.2)
    running = cell.fleet.running()
    cell.record.line(f"{len(running)} members run")
    if standin.TROUBLE:
        runner = next(known for known in cell.fleet.runners if known.id == running[0]["runner"])
        runner.crash()
        await runner.restart(1.0)
    until_ms = standin.now_ms() + 60_000
    while standin.now_ms() < until_ms:
        if await cell.state(JOB) in ("completed", "failed"):
            break
        await asyncio.sleep(2)
    by_run = {}
    for run in cell.fleet.runs:
        by_run.setdefault(run["run"], []).append(run["checkpoint"])
    held = True
    for run, values in by_run.items():
        cell.record.line(f"run {run}: checkpoints {values}")
        print(f"run {run}: checkpoints {values}")
        held &= len(set(values)) == 1
    return held


standin.main(__file__, play)
