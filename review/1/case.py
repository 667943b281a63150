"""Runners that drain are cut off while their runs go on."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import cell as standin

JOB = "b81f27d06ce4935a"
RUNNERS, LEAVING, ROUNDS = 48, 7, 3
CUT_S = 5.5
# Time after the second ping of the draining runners at which the partition begins.
PING_AGE_S = 1.4
# The steady clock of a runner may be 2% slow.
CLOCK_RATE = 0.98


async def play(cell):
    await cell.start(hosts=3, runners=RUNNERS, clock_rate=CLOCK_RATE)
    steps = [{"count": RUNNERS, "cpu": 4000, "mem-mb": 512, "estimate-ms": 200000}]
    await cell.submit(JOB, steps, [{"ms": 200000}])
    await asyncio.sleep(4)
    runners = iter(list(cell.fleet.runners))
    for _ in range(ROUNDS):
        leaving = [next(runners) for _ in range(LEAVING)]
        await asyncio.gather(*(runner.drain() for runner in leaving))
        await asyncio.sleep(standin.HEARTBEAT_MS / 1000 + PING_AGE_S)
        if standin.TROUBLE:
            await asyncio.gather(*(runner.cut(CUT_S) for runner in leaving))
        await asyncio.sleep(3)
        for runner in leaving:
            runner.crash()
        await asyncio.sleep(8)
    held = True
    by_task = {}
    for run in cell.fleet.runs:
        by_task.setdefault(run["task"], []).append(run)
    for task, runs in by_task.items():
        for former, later in zip(runs, runs[1:]):
            overlap_ms = (former["ended_ms"] or standin.now_ms()) - later["begun_ms"]
            if overlap_ms > 0:
                text = (f"{task}: run {former['run']} on {former['runner']} ({former['end']}) and run "
                        f"{later['run']} on {later['runner']} overlap by {overlap_ms:.0f} ms")
                cell.record.line(text)
                print(text)
                held = False
    return held


standin.main(__file__, play)
