"""Case 7: a task that needs nearly a whole runner is never started again after a runner was lost."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-b"))
import smallcell  # noqa: E402

REBUILD, TOPUP = "rebuild", "topup"
JOB, PROBE = "7b1e0c5a9d3f2468", "00000000000000bb"
TASK = f"{JOB}.0.0.0"
FINISH_S, IDLE_S = 14.0, 3.0


class MixedCell(smallcell.Cell):
    """One runner of 32 cores and 64 GB, and seven of half of that."""

    sizes = {0: (32_000, 65_536)}


async def story(cell, trouble):
    await cell.start(3, 8, [cell.route(REBUILD, priority=2), cell.route(TOPUP, priority=0)])
    await asyncio.sleep(2)
    step = {"count": 1, "cpu": 14_000, "mem-mb": 30_000, "estimate-ms": 20_000}
    await cell.submit(cell.hosts[0], REBUILD, JOB, [step], {"ms": 20_000})
    await asyncio.sleep(4)
    if trouble:
        lost = cell.runners[0]
        if TASK not in lost.runs:
            raise smallcell.CannotRun("the task doesn't run on the large runner")
        await lost.crash()
    await asyncio.sleep(12)
    # The same task, handed in as an urgent job, shows that the other runners have room for it.
    await cell.submit(cell.hosts[0], TOPUP, PROBE, [step], {"ms": 500})
    traffic_ended = cell.now_s()
    # Longest time, from `finish_s` after the end of the traffic on, in which nothing of the job
    # runs although all other runners are empty.
    idle_s, longest_s, last = 0.0, 0.0, cell.now_s()
    while cell.now_s() < traffic_ended + FINISH_S + 8:
        await asyncio.sleep(0.05)
        now = cell.now_s()
        done = {run["task"] for run in cell.runs if run["how"] == "done"}
        up = [runner for runner in cell.runners if runner.is_up]
        is_idle = TASK not in done and not any(runner.runs for runner in up)
        idle_s = idle_s + now - last if is_idle and now > traffic_ended + FINISH_S else 0.0
        longest_s, last = max(longest_s, idle_s), now
    state = await cell.state(REBUILD, JOB)
    if f"{PROBE}.0.0.0" not in done:
        raise smallcell.CannotRun("the urgent job hasn't run")
    text = f"state {state}; nothing of the job ran for {longest_s:.1f} s with {len(up)} empty runners"
    return longest_s > IDLE_S, text


smallcell.play(HERE, story, cell_type=MixedCell)
