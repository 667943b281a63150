"""A job is given up for crashes of two runners on which it never ran."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import cell as standin

JOB = "5c0e7a21d94b36f8"
RUNNERS = 14
DOWN_S = (2.0, 4.5)
# The crash comes in the first half of a ping interval of the second runner.
PING_AGE_MS = standin.HEARTBEAT_MS / 2


async def play(cell):
    await cell.start(hosts=3, runners=RUNNERS)
    task = f"{JOB}.0.0.0"
    # The leader tries the last of the idle runners by name first, and a suspect on the first.
    by_name = sorted(cell.fleet.runners, key=lambda runner: runner.id)
    restarts = []
    while standin.now_ms() > by_name[0].reported_ms + PING_AGE_MS:
        await asyncio.sleep(0.01)
    if standin.TROUBLE:
        for runner, down_s in zip((by_name[-1], by_name[0]), DOWN_S):
            runner.crash(is_dark=True)
            restarts.append(asyncio.create_task(runner.restart(down_s)))
    steps = [{"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 2000}]
    await cell.submit(JOB, steps, [{"ms": 2000}])
    await asyncio.sleep(20)
    state = await cell.state(JOB)
    runs = [run for run in cell.fleet.runs if run["task"] == task]
    text = f"state {state}; {len(runs)} runs of {task}, ends {[run['end'] for run in runs]}"
    cell.record.line(text)
    print(text)
    crashed = [run for run in runs if run["end"] == "gone"]
    failed = [run for run in runs if run["end"] == "failed"]
    may_fail = len(crashed) >= 2 or len(failed) >= cell.QUEUE["max-attempts"]
    return state != "failed" or may_fail


standin.main(__file__, play)
