"""A route is removed while its job is queued, and then another host leads. See claim.txt."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-c"))

import cell as cells

RUNNERS = 4
FINISH_S = 14
WATCHED_S = 30
NOTHING_RUNS_S = 3

JOB = "00000000000000d1"
STEPS = [{"count": 4, "cpu": 2000, "mem-mb": 512, "estimate-ms": 6000},
         {"count": 4, "cpu": 2000, "mem-mb": 512, "estimate-ms": 6000, "after": [0]}]


def play(cell):
    kept = cells.route("kept", "/kept/")
    removed = cells.route("removed", "/removed/")
    cell.start([kept, removed])
    cell.submit("/removed/", JOB, {"ms": 6000}, STEPS)
    cell.wait_for(lambda: len(cell.running()) == 4, 10, "the first step")
    # The configuration changes also without the disruption: the leader alone makes the difference.
    cell.declare([kept])
    time.sleep(3)
    leader = cell.leader()
    if cell.has_trouble:
        cell.signal_host(leader, signal.SIGKILL)
        time.sleep(1)
        cell.start_host(leader)
    ended = time.time()
    idle_since, longest = None, 0.0
    while time.time() < ended + WATCHED_S:
        time.sleep(0.1)
        now = time.time()
        done = {event["task"] for event in cell.events()
                if event["event"] == "end" and event["how"] == "done"}
        if len(done) == 8:
            return cells.HELD, "all tasks of both steps ended done"
        if any(task.startswith(JOB) for task in cell.running()):
            idle_since = None
        elif now > ended + FINISH_S:
            idle_since = idle_since or now
            longest = max(longest, now - idle_since)
    if longest >= NOTHING_RUNS_S:
        return cells.BROKEN, (f"nothing of the job ran for {longest:.0f} s, with all room free; "
                              f"{len(done)} of 8 tasks are done")
    return cells.HELD, "the job went on"


cells.run(FOLDER, play, hosts=3, runners=RUNNERS)
