"""A job is submitted to a new route while the leader is cut off from the store. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-c"))

import cell as cells

RUNNERS = 2
ATTEMPTS = 4
CUT_S = 1.0

JOB = "00000000000000f1"
STEP = {"count": 1, "cpu": 2000, "mem-mb": 512, "estimate-ms": 300}


def play(cell):
    kept = cells.route("kept", "/kept/")
    added = cells.route("added", "/added/", attempts=ATTEMPTS)
    cell.start([kept])
    leader = cell.leader()
    other = next(number for number in sorted(cell.host_processes) if number != leader)
    if cell.has_trouble:
        cell.cut_from_store(leader, True)
    cut_ends = time.time() + CUT_S
    cell.declare([kept, added])
    body = {"spec": '{"ms": 300, "fail": 1}', "steps": [STEP]}
    status = None
    while status != 200 and time.time() < cut_ends:
        status, _ = cell.request(other, "POST", "/added/" + JOB, body)
        time.sleep(0.02)
    if status != 200:
        raise cells.NotRun("the job was not accepted during the cut")
    time.sleep(max(0.0, cut_ends - time.time()))
    if cell.has_trouble:
        cell.cut_from_store(leader, False)
    ends = time.time() + 25
    state = None
    while time.time() < ends and state not in ("completed", "failed"):
        state = cell.state("/added/", JOB, is_noted=False)
        time.sleep(0.1)
    state = cell.state("/added/", JOB)
    failed = [event for event in cell.events()
              if event["event"] == "end" and event["how"] == "failed"]
    if state == "failed" and len(failed) < ATTEMPTS:
        return cells.BROKEN, f"shown as failed after {len(failed)} failed runs of {ATTEMPTS}"
    return cells.HELD, f"shown as {state} after {len(failed)} failed runs"


cells.run(FOLDER, play, hosts=3, runners=RUNNERS, has_store_proxies=True)
