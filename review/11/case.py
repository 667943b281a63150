"""The runners of a task that lasts crash one after the other. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-c"))

import cell as cells

RUNNERS = 8
CRASHES = 4
DOWN_S = 4.5
SETTLED_S = 4.0

JOB = "00000000000000c1"
TASK = f"{JOB}.0.0.0"
STEP = {"count": 1, "cpu": 2000, "mem-mb": 512, "estimate-ms": 1000, "long-running": True}


def play(cell):
    cell.start([cells.route("lasting", "/lasting/", priority=1)])
    cell.submit("/lasting/", JOB, {}, [STEP])
    returns = []
    last_run = time.time()

    def bring_back():
        while returns and time.time() >= returns[0]:
            returns.pop(0)
            cell.start_runner()

    for crash in range(CRASHES):
        ends = time.time() + 25
        while TASK not in cell.running():
            state = cell.state("/lasting/", JOB, is_noted=False)
            if state == "failed":
                cell.state("/lasting/", JOB)
                return cells.BROKEN, f"shown as failed after {crash} crashes, without a failed end"
            if time.time() > ends:
                return cells.BROKEN, f"not started again for 25 s after crash {crash}"
            bring_back()
            time.sleep(0.1)
        runner, begun = cell.running()[TASK]
        # The task has worked for a while, so that the crash has nothing to do with its start.
        while time.time() < begun + SETTLED_S:
            bring_back()
            time.sleep(0.1)
        cell.state("/lasting/", JOB)
        if cell.has_trouble:
            cell.crash_runner(runner)
            returns.append(time.time() + DOWN_S)
    time.sleep(8)
    state = cell.state("/lasting/", JOB)
    if state == "failed":
        return cells.BROKEN, f"shown as failed after {CRASHES} crashes, without a failed end"
    if TASK not in cell.running():
        return cells.BROKEN, f"nothing runs 8 s after the last crash; shown as {state}"
    return cells.HELD, f"the task runs; shown as {state}"


cells.run(FOLDER, play, hosts=3, runners=RUNNERS)
