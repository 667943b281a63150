"""A runner is lost for good on which tasks of several jobs have just started. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-c"))

import cell as cells

# The policy of the site's queue `range-rebuild`.
ADVICE = {"decide-ms": 430, "each-ms": 6.1, "valid-ms": 2500}
HOSTS = 5
RUNNERS = 11
FINISH_S = 14
WATCHED_S = 30
NOTHING_RUNS_S = 3

BACKGROUND = "00000000000000aa"
JOBS = [f"00000000000000b{number}" for number in range(1, 7)]
STEP = {"count": RUNNERS, "cpu": 2500, "mem-mb": 1024, "estimate-ms": 4000, "max-per-server": 2}


def tasks_of(job):
    return [f"{job}.0.0.{index}" for index in range(RUNNERS)]


def crash_when_all_run(cell):
    """Kills a runner on which a task of each job has begun within the last second."""
    def victim():
        began = {}
        for task, (runner, at) in cell.running().items():
            for job in JOBS:
                if task.startswith(job):
                    began.setdefault(runner, {})[job] = at
        now = time.time()
        for runner, jobs in began.items():
            ages = [now - at for at in jobs.values()]
            if len(jobs) == len(JOBS) and min(ages) > 0.3 and max(ages) < 0.95:
                return runner
        return None

    cell.wait_for(lambda: victim() is not None, 20, "a runner with tasks of all jobs")
    runner = victim()
    if runner is None:
        raise cells.NotRun("the tasks of the jobs did not start together")
    if cell.has_trouble:
        cell.crash_runner(runner)


def play(cell):
    cell.start([cells.route("lasting", "/lasting/", priority=1),
                cells.route("batch", "/batch/", advice=ADVICE, priority=2)])
    # Small tasks that last, one on each runner, so that none is idle.
    lasting = {"count": RUNNERS, "cpu": 1000, "mem-mb": 512, "estimate-ms": 1000,
               "max-per-server": 2, "long-running": True}
    cell.submit("/lasting/", BACKGROUND, {}, [lasting])
    cell.wait_for(lambda: len(cell.running()) == RUNNERS, 15, "the lasting tasks")
    for job in JOBS:
        cell.submit("/batch/", job, {"ms": 4000}, [STEP])
    crash_when_all_run(cell)
    traffic_ended = time.time()
    idle_since = {job: None for job in JOBS}
    longest = {job: 0.0 for job in JOBS}
    while time.time() < traffic_ended + WATCHED_S:
        time.sleep(0.1)
        now = time.time()
        running = cell.running()
        for job in JOBS:
            is_done = cell.state("/batch/", job, is_noted=False) == "completed"
            if is_done or any(task in running for task in tasks_of(job)):
                idle_since[job] = None
            elif now > traffic_ended + FINISH_S:
                idle_since[job] = idle_since[job] or now
                longest[job] = max(longest[job], now - idle_since[job])
    states = {job: cell.state("/batch/", job) for job in JOBS}
    worst = max(longest.values())
    if worst >= NOTHING_RUNS_S:
        return cells.BROKEN, (f"{FINISH_S} s after the end of the traffic, nothing of a job ran for "
                              f"{worst:.0f} s of {WATCHED_S - FINISH_S}, with most of the room free: {states}")
    if any(state != "completed" for state in states.values()):
        return cells.BROKEN, f"a job is not completed: {states}"
    return cells.HELD, f"{states}"


cells.run(FOLDER, play, hosts=HOSTS, runners=RUNNERS, advice=ADVICE)
