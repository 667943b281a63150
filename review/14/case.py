"""A member of a gang is lost with its runner right after its start. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-c"))

import cell as cells

# The policy of the queue `range-rebuild` of tvs-ordering-grown.
ADVICE = {"decide-ms": 494, "each-ms": 7.02, "valid-ms": 2500}
HOSTS = 3
LARGE = 7
SMALL_CPU = 16000
FINISH_S = 14
WATCHED_S = 30
NOTHING_RUNS_S = 3

BACKGROUND = "00000000000000aa"
JOB = "00000000000000e1"
GANG = {"count": 3, "cpu": 2500, "mem-mb": 1024, "estimate-ms": 4000, "gang": True}


def play(cell):
    cell.start([cells.route("lasting", "/lasting/", priority=1),
                cells.route("batch", "/batch/", advice=ADVICE, priority=2)])
    # Small tasks that last, one on each runner of kind `a`.
    lasting = {"count": LARGE, "cpu": 1000, "mem-mb": 512, "estimate-ms": 1000,
               "required-label": "a", "max-per-server": 2, "long-running": True}
    cell.submit("/lasting/", BACKGROUND, {}, [lasting])
    cell.wait_for(lambda: len(cell.running()) == LARGE, 15, "the lasting tasks")
    # Of another kind, half as large as the others, and without a task.
    cell.start_runner(SMALL_CPU, kind="b")
    time.sleep(3)
    cell.submit("/batch/", JOB, {"ms": 4000, "gang": 3}, [GANG])

    def members():
        return [runner for task, (runner, _) in cell.running().items() if task.startswith(JOB)]

    cell.wait_for(lambda: len(members()) == 3, 15, "the gang")
    victims = members()
    time.sleep(0.3)
    if cell.has_trouble:
        cell.crash_runner(victims[0])
    traffic_ended = time.time()
    idle_since, longest = None, 0.0
    while time.time() < traffic_ended + WATCHED_S:
        time.sleep(0.1)
        now = time.time()
        if cell.state("/batch/", JOB, is_noted=False) == "completed":
            break
        if members():
            idle_since = None
        elif now > traffic_ended + FINISH_S:
            idle_since = idle_since or now
            longest = max(longest, now - idle_since)
    state = cell.state("/batch/", JOB)
    if longest >= NOTHING_RUNS_S:
        return cells.BROKEN, (f"{FINISH_S} s after the end of the traffic, nothing of the job ran for "
                              f"{longest:.0f} s, with most of the room free; shown as {state}")
    return cells.HELD, f"shown as {state}"


cells.run(FOLDER, play, hosts=HOSTS, runners=LARGE, advice=ADVICE)
