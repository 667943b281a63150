"""Stand-in for one runner of the platform.

Usage: runner.py HOST:PORT STORE ID SERVICE CPU_MILLIS MEM_MB KIND RECORD

It registers in the store, follows orders and works on tasks. The `spec` of a job is a JSON object:
`ms` is the duration of each task in milliseconds (without it a task lasts until it is stopped),
`fail` the number of runs of each task that end `failed` on this runner, and `gang` the number of
members of the gang that its tasks form. Each event is appended to RECORD as a line of JSON; the
members of a gang learn of each other there. A test makes a runner crash with SIGKILL and writes that
to RECORD as the event `down`.
"""

import asyncio
import base64
import json
import os
import sys
import time

import http1

PING_S = 1.5
HOLD_MAX_MS = 10_000
STOP_GRACE_S = 0.1
GANG_TIMEOUT_S = 3.0
GANG_LOOK_S = 0.1
LIST_LIMIT = 500


def clock():
    return time.monotonic() - BORN


BORN = time.monotonic()


class Runner:
    def __init__(self, address, store, name, service, cpu, mem, kind, record):
        self.address, self.store, self.name, self.service = address, store, name, service
        self.cpu, self.mem, self.kind = cpu, mem, kind
        self.record_path = record
        self.record = os.open(record, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.born = int(time.time() * 1000)
        self.token = 0
        self.until_ms = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.barred = {}
        self.failures = {}
        self.news = asyncio.Event()
        self.sequence = 0

    def log(self, event, **fields):
        line = {"at": round(time.time(), 3), "who": self.name, "event": event, **fields}
        os.write(self.record, (json.dumps(line) + "\n").encode())

    def clock_ms(self):
        return int(clock() * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.log("end", task=task, run=run["run"], how=how, number=self.next_end)
        self.next_end += 1
        self.news.set()
        self.news = asyncio.Event()

    async def work(self):
        """Ends the runs that are over, and all of them once the lease has lapsed."""
        while True:
            await asyncio.sleep(0.01)
            now = clock()
            for task, run in list(self.running.items()):
                if self.clock_ms() > self.until_ms:
                    self.end(task, "lapsed")
                elif run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["is_waiting"]:
                    if now - run["begun"] > GANG_TIMEOUT_S:
                        self.end(task, "alone")
                elif run["ms"] is not None and (now - run["begun"]) * 1000 >= run["ms"]:
                    failed = self.failures.get(task, 0) < run["fail"]
                    if failed:
                        self.failures[task] = self.failures.get(task, 0) + 1
                    self.end(task, "failed" if failed else "done")

    async def watch_gangs(self):
        """Lets members of a gang begin once all are present, and ends them once one has ended."""
        while True:
            await asyncio.sleep(GANG_LOOK_S)
            gangs = {task: run for task, run in self.running.items() if run["gang"]}
            if not gangs:
                continue
            with open(self.record_path) as file:
                events = [json.loads(line) for line in file if line.endswith("\n")]
            down = {event["who"] for event in events if event["event"] == "down"}
            for task, run in gangs.items():
                step = task.rsplit(".", 1)[0] + "."
                members = [event for event in events if event.get("run") == run["run"]
                           and event.get("task", "").startswith(step)]
                begun = {event["task"] for event in members if event["event"] == "start"}
                is_over = any(event["event"] == "end" and event["how"] != "done"
                              or event["event"] == "start" and event["who"] in down
                              for event in members)
                if is_over and task in self.running:
                    self.end(task, "broken")
                elif run["is_waiting"] and len(begun) == run["gang"]:
                    run["is_waiting"], run["begun"] = False, clock()

    def extend(self, until_ms):
        now = self.clock_ms()
        self.until_ms = max(self.until_ms, min(until_ms, now + HOLD_MAX_MS))

    def percent(self, run):
        if run["is_waiting"]:
            return 0
        if run["ms"] is None:
            return 100
        return min(99, int((clock() - run["begun"]) * 100_000 / run["ms"]))

    def refuse(self, reason):
        return 409, {"clock-ms": self.clock_ms(), "born": self.born, "reason": reason}

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("hemlockrock-expected-instance", self.name) != self.name:
            return 421, {}
        token = body.get("fencing-token", 0)
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            return 200, {"clock-ms": self.clock_ms(), "born": self.born}
        return 404, {}

    def start(self, body):
        task, run = body["task"], body["run"]
        if body["until-ms"] <= self.clock_ms():
            return self.refuse("late")
        known = self.running.get(task)
        if known and known["run"] == run:
            return 200, {"clock-ms": self.clock_ms(), "born": self.born}
        self.extend(body["until-ms"])
        if run <= self.barred.get(task, 0) or known:
            return self.refuse("old")
        if not self.admits(task, body.get("ticket")):
            return self.refuse("ticket")
        spec = json.loads(body["spec"])
        self.log("start", task=task, run=run, token=body["fencing-token"], ticket=body.get("ticket"))
        self.running[task] = {"run": run, "begun": clock(), "ms": spec.get("ms"),
                              "fail": spec.get("fail", 0), "stop_at": None,
                              "gang": spec.get("gang", 0), "is_waiting": spec.get("gang", 0) > 1}
        return 200, {"clock-ms": self.clock_ms(), "born": self.born}

    def admits(self, task, ticket):
        """Whether a ticket, if there is one, is for this step and runner and still valid."""
        if not ticket:
            return True
        step, worker, valid_until = ticket.split("/")
        is_named = task.startswith(step + ".") and worker == self.name
        return is_named and time.time() * 1000 < int(valid_until)

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), run)
        known = self.running.get(task)
        if known and known["run"] == run and known["stop_at"] is None:
            self.log("stop", task=task, run=run)
            known["stop_at"] = clock() + STOP_GRACE_S
        return 200, {"clock-ms": self.clock_ms(), "born": self.born}

    async def hold(self, body):
        if body.get("until-ms"):
            self.extend(body["until-ms"])
        seen = body.get("last-seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        ends = clock() + body.get("wait-ms", 0) / 1000
        while not self.ended and clock() < ends:
            try:
                await asyncio.wait_for(self.news.wait(), ends - clock())
            except asyncio.TimeoutError:
                break
        running = [[task, run["run"], "", self.percent(run), 0]
                   for task, run in self.running.items()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running,
                     "ended-runs": self.ended[:LIST_LIMIT]}

    async def register(self):
        """Keeps the record in the store, which removes it after three ping intervals of silence."""
        lease = None
        while True:
            try:
                if lease is not None:
                    status, _ = await http1.call(self.store, "POST", f"/kv-keep/{lease}")
                    lease = lease if status == 200 else None
                if lease is None:
                    ttl = {"ttl-ms": int(PING_S * 3000)}
                    _, text = await http1.call(self.store, "POST", "/kv-lease", ttl)
                    lease = json.loads(text)["lease"]
                self.sequence += 1
                record = {"service": self.service, "address": self.address, "zone": "zone-a",
                          "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                          "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0},
                          "labels": [self.kind, "r1-1"], "clock-ms": self.clock_ms(),
                          "sequence": self.sequence, "born": self.born}
                value = base64.b64encode(json.dumps(record).encode()).decode()
                put = {"key": f"servers/{self.name}", "value": value, "lease": lease}
                await http1.call(self.store, "POST", "/kv-txn", {"puts": [put]},
                                 {"X-Platform": "1"})
            except (OSError, asyncio.TimeoutError, ValueError):
                pass
            await asyncio.sleep(PING_S)


async def main():
    address, store, name, service, cpu, mem, kind, record = sys.argv[1:]
    runner = Runner(address, store, name, service, int(cpu), int(mem), kind, record)
    host, port = address.rsplit(":", 1)
    server = await http1.serve(host, int(port), runner.handle)
    runner.log("up", address=address, born=runner.born)
    await asyncio.gather(server.serve_forever(), runner.work(), runner.register(),
                         runner.watch_gangs())


if __name__ == "__main__":
    asyncio.run(main())
