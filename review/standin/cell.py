"""Stand-ins for the platform, runners and callers, and real `hemlock-queue` processes between them.

Everything listens on loopback addresses. The stand-ins follow `PROTOCOL.md`; faults are injected
only by the scripts that use this module.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of sites/dmt-riga.toml.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "outer-ms": 5000, "recovery-s": 12, "hold-max-ms": 10000,
    "stop-grace-ms": 200, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "far-factor": 3, "checkpoint-s": 0.5,
    "restore-ms": 600, "notice-ms": 4500, "move-s": 1.5, "maintenance-s": 2,
    "fencing-enforced": True, "lease-ms": 3000, "thaw-ms": 300, "pace-ms": 100, "harm-ms": 4000,
}
HEARTBEAT_MS = 1500
# Refused starts that are written to the record; the others are only counted.
RECORDED_REFUSALS = 40


def now_ms():
    return time.monotonic() * 1000


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start_ms = now_ms()

    def line(self, text):
        self.file.write(f"{(now_ms() - self.start_ms) / 1000:8.3f} s  {text}\n")
        self.file.flush()


# HTTP ------------------------------------------------------------------------------------------


class HttpServer:
    """Serves `handler(method, path, query, headers, body) -> (status, body)`.

    A handler that returns `None` breaks the channel without an answer.
    """

    def __init__(self, handler, ip="127.0.0.1", port=0):
        self.handler, self.ip, self.port = handler, ip, port
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                content = json.loads(body) if body else None
                answer = await self.handler(method, url.path, query, headers, content)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                data = json.dumps(content).encode() if content is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Sends one request on a channel of its own; returns `(status, body)`, status 0 without answer."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            content = await reader.readexactly(length)
            try:
                return status, json.loads(content) if content else None
            except ValueError:
                return status, content.decode("utf-8", "replace")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, None


# Store -----------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.history = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.http = await HttpServer(self.handle).start()
        self.address = self.http.address
        asyncio.create_task(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (ttl_ms, until_ms) in list(self.leases.items()):
                if now_ms() > until_ms:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            await self.write([], gone)

    async def write(self, puts, deletes):
        """Applies a change with one new revision."""
        self.revision += 1
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        for put in puts:
            key = put["key"]
            created = self.items[key]["created-at"] if key in self.items else self.revision
            item = {"key": key, "value": put["value"], "revision": self.revision,
                    "created-at": created, "lease": put.get("lease", 0) or 0}
            self.items[key] = item
            self.history.append(dict(item))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value, lease=0):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.write([{"key": key, "value": data, "lease": lease}], [])

    def grant(self, ttl_ms):
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
        return lease

    def keep(self, lease):
        if lease not in self.leases:
            return False
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
        return True

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            after = query.get("after")
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and (after is None or key > after))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            after, until_ms = int(query["after"]), now_ms() + int(query["wait-ms"])
            while True:
                events = [event for event in self.history
                          if event["revision"] > after and event["key"].startswith(query["prefix"])]
                left_s = (until_ms - now_ms()) / 1000
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left_s)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            for row in body.get("expected", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    known = [self.items[other["key"]] for other in body["expected"]
                             if other["key"] in self.items]
                    return 412, {"items": known}
            for put in body.get("puts", []):
                if put.get("lease") and put["lease"] not in self.leases:
                    return 404, {}
            return 200, {"revision": await self.write(body.get("puts", []), body.get("deletes", []))}
        if path == "/kv-lease":
            return 200, {"lease": self.grant(body["ttl-ms"]), "ttl-ms": body["ttl-ms"]}
        if path.startswith("/kv-keep/"):
            return (200, {}) if self.keep(int(path.rsplit("/", 1)[1])) else (404, {})
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        return 400, {}


# Runners ---------------------------------------------------------------------------------------


class Fleet:
    """All runners, and the runs on them as the runners see them."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.runners = []
        # All starts that a runner has begun: dictionaries, in their order.
        self.runs = []
        # (step, run) of a gang -> its runs.
        self.gangs = {}
        # Number of starts that runners have refused.
        self.refused = 0

    async def add(self, count, **options):
        for _ in range(count):
            runner = Runner(self, len(self.runners), **options)
            self.runners.append(runner)
            await runner.start()

    def running(self, task=None):
        return [run for run in self.runs
                if run["end"] is None and (task is None or run["task"] == task)]

    def runner_of(self, task):
        found = self.running(task)
        return found[-1]["runner"] if found else None


class Runner:
    """One runner. A restart keeps its id and address, and forgets everything else."""

    def __init__(self, fleet, number, service="trowel-judge", cpu=16000, mem_mb=32768,
                 clock_rate=1.0):
        self.clock_rate = clock_rate
        self.fleet, self.number, self.service = fleet, number, service
        self.capacity = {"cpu": cpu, "mem-mb": mem_mb, "gpu": 0}
        self.id = f"i-{random.Random(number).getrandbits(40):010x}"
        self.is_up = False
        self.is_draining = False
        self.is_cut = False
        self.port = 0
        self.reported_ms = self.held_ms = 0

    async def start(self):
        """Begins a lifetime."""
        self.born = int(time.time() * 1000)
        self.begun_ms = now_ms()
        self.fence = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.closed = {}
        self.until_ms = 0
        self.sequence = 0
        self.is_up = True
        self.ended = asyncio.Condition()
        self.server = await HttpServer(self.handle, port=self.port).start()
        self.port, self.address = self.server.port, self.server.address
        self.fleet.record.line(f"runner {self.id} starts at {self.address}, born {self.born}")
        self.lease = self.fleet.store.grant(3 * HEARTBEAT_MS)
        await self.report()
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.work())]

    def crash(self, is_dark=False):
        """Ends the lifetime without a word; the record stays until its lease ends.

        A dark runner lets channels hang, and orders to it get lost; others reset them.
        """
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.is_cut = is_dark
        if not is_dark:
            self.server.stop()
        lost = [run["task"] for run in self.running.values()]
        self.fleet.record.line(f"runner {self.id} crashes with {lost}")
        for run in self.running.values():
            run["end"], run["ended_ms"] = "gone", now_ms()
        self.running = {}

    async def restart(self, after_s):
        await asyncio.sleep(after_s)
        if self.is_cut:
            self.server.stop()
            self.is_cut = False
        await self.start()

    def clock_ms(self):
        return int((now_ms() - self.begun_ms) * self.clock_rate)

    async def cut(self, for_s):
        """Partitions the runner from the store and from all hosts; it runs on."""
        self.fleet.record.line(f"runner {self.id} is cut off for {for_s} s")
        self.is_cut = True
        await asyncio.sleep(for_s)
        self.is_cut = False
        self.fleet.record.line(f"runner {self.id} is reached again")

    async def lose_call(self):
        """Leaves a call without an answer, and its channel silent, until the partition ends."""
        while self.is_cut:
            await asyncio.sleep(0.05)

    async def drain(self):
        self.is_draining = True
        # The next ping is due one interval after this one.
        self.ping_ms = now_ms() + HEARTBEAT_MS
        await self.report()
        self.fleet.record.line(f"the store has accepted that runner {self.id} is draining")

    async def report(self):
        if self.is_cut:
            return
        self.reported_ms = now_ms()
        self.sequence += 1
        value = {"service": self.service, "address": self.address, "zone": "riga-hall",
                 "version": "v1", "slots": 8, "state": "draining" if self.is_draining else "ready",
                 "cold-remaining-ms": 0, "sequence": self.sequence, "capacity": self.capacity,
                 "labels": ["a", f"r{self.number // 8}"], "born": self.born}
        if not self.fleet.store.keep(self.lease):
            self.lease = self.fleet.store.grant(3 * HEARTBEAT_MS)
        await self.fleet.store.put(f"servers/{self.id}", value, self.lease)

    async def heartbeat(self):
        self.ping_ms = now_ms() + random.uniform(0, HEARTBEAT_MS)
        while True:
            await asyncio.sleep(0.01)
            if now_ms() >= self.ping_ms:
                self.ping_ms += HEARTBEAT_MS
                await self.report()

    async def end(self, run, how):
        key = run["task"]
        if self.running.get(key) is not run:
            return
        del self.running[key]
        run["end"], run["ended_ms"] = how, now_ms()
        if how == "lapsed":
            run["ended_ms"] = min(now_ms(), self.begun_ms + self.until_ms / self.clock_rate)
        self.closed[key] = max(self.closed.get(key, 0), run["run"])
        self.ends.append([self.next_end, key, run["run"], how, run["saved"]])
        self.next_end += 1
        self.fleet.record.line(f"run {key} {run['run']} on {self.id}: {how}")
        async with self.ended:
            self.ended.notify_all()
        gang = run["gang"]
        if gang and how != "done":
            for other in list(self.fleet.gangs.get(gang, [])):
                if other["end"] is None:
                    await other["at"].end(other, "broken")
        elif gang:
            for other in list(self.fleet.gangs.get(gang, [])):
                if other["end"] is None:
                    await other["at"].end(other, "done")

    async def work(self):
        """Advances the runs and ends those that are done, alone or without a lease."""
        last_ms = now_ms()
        while True:
            await asyncio.sleep(0.015)
            step_ms, last_ms = now_ms() - last_ms, now_ms()
            if self.running and self.clock_ms() > self.until_ms:
                for run in list(self.running.values()):
                    await self.end(run, "lapsed")
            for run in list(self.running.values()):
                if run["gang"]:
                    gang = [other for other in self.fleet.gangs[run["gang"]] if other["end"] is None]
                    if len(gang) < run["members"]:
                        if any(other["end"] for other in self.fleet.gangs[run["gang"]]):
                            await self.end(run, "broken")
                        elif now_ms() - run["begun_ms"] > BOUNDS["gang-timeout-ms"]:
                            await self.end(run, "alone")
                        continue
                    # The first member advances the work of all.
                    if run is not gang[0]:
                        run["worked_ms"] = gang[0]["worked_ms"]
                        self.save(run)
                        continue
                if now_ms() < run["from_ms"]:
                    continue
                run["worked_ms"] += step_ms
                self.save(run)
                if run["work_ms"] and run["worked_ms"] >= run["work_ms"]:
                    await self.end(run, run["how"])

    def save(self, run):
        if run["checkpoints"]:
            every_ms = BOUNDS["checkpoint-s"] * 1000
            saved = int(run["worked_ms"] // every_ms)
            if saved:
                owner = run["gang"][0] if run["gang"] else run["task"]
                run["saved"] = f"{int(saved * every_ms):08x}{owner[:16]}"

    async def handle(self, method, path, query, headers, body):
        if self.is_cut:
            return await self.lose_call()
        if headers.get("hemlockrock-expected-instance", self.id) != self.id:
            return 421, {"clock-ms": self.clock_ms()}
        if body["fencing-token"] < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = body["fencing-token"]
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            run = self.running.get(body["task"])
            self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["run"])
            if run and run["run"] <= body["run"]:
                await self.end(run, "stopped")
            return 200, {"clock-ms": self.clock_ms()}
        if path == "/pace":
            return 200, {"clock-ms": self.clock_ms()}
        if path == "/hold":
            self.ends = [end for end in self.ends if end[0] > body["last-seen"]]
            if body.get("until-ms"):
                self.held_ms = now_ms()
            self.extend(body.get("until-ms"))
            wait_until_ms = now_ms() + body.get("wait-ms", 0)
            while not self.ends and now_ms() < wait_until_ms:
                async with self.ended:
                    try:
                        await asyncio.wait_for(
                            self.ended.wait(), (wait_until_ms - now_ms()) / 1000)
                    except asyncio.TimeoutError:
                        pass
            if self.is_cut:
                return await self.lose_call()
            rows = []
            for run in self.running.values():
                percent = 100 if not run["work_ms"] else int(
                    100 * run["worked_ms"] / run["work_ms"])
                rows.append([run["task"], run["run"], run["saved"], percent, 0])
            return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": rows,
                         "ended-runs": self.ends[:500]}
        return 400, {"clock-ms": self.clock_ms()}

    def extend(self, until_ms):
        if until_ms is not None:
            limit_ms = self.clock_ms() + BOUNDS["hold-max-ms"]
            self.until_ms = max(self.until_ms, min(until_ms, limit_ms))

    def run_start(self, body):
        task, number = body["task"], body["run"]

        def refuse(reason):
            self.fleet.refused += 1
            if self.fleet.refused <= RECORDED_REFUSALS:
                self.fleet.record.line(f"start {task} {number} refused by {self.id}: {reason}")
            return 409, {"clock-ms": self.clock_ms(), "reason": reason}

        known = self.running.get(task)
        if known and known["run"] == number:
            return 200, {"clock-ms": self.clock_ms()}
        if body["until-ms"] <= self.clock_ms():
            return refuse("late")
        if self.fleet.check_ticket and not self.fleet.check_ticket(self, body):
            return refuse("ticket")
        if number <= self.closed.get(task, 0) or known:
            self.extend(body["until-ms"])
            return refuse("old")
        self.extend(body["until-ms"])
        spec = json.loads(body["spec"])
        step = task.rsplit(".", 1)[0]
        plan = spec["steps"][step.rsplit(".", 1)[1]]
        saved = body.get("checkpoint", "")
        run = {
            "task": task, "run": number, "runner": self.id, "at": self, "end": None,
            "begun_ms": now_ms(), "ended_ms": None, "how": "done",
            "from_ms": now_ms() + (BOUNDS["restore-ms"] if saved else 0),
            "work_ms": plan.get("ms", 0), "worked_ms": int(saved[:8], 16) if saved else 0,
            "saved": saved, "checkpoint": saved, "checkpoints": plan.get("checkpoints", False),
            "gang": (step, number) if plan.get("gang") else None,
            "members": plan.get("gang", 0),
        }
        if plan.get("fails", 0) > len([r for r in self.fleet.runs if r["task"] == task]):
            run["how"] = "failed"
        self.running[task] = run
        self.fleet.runs.append(run)
        if run["gang"]:
            self.fleet.gangs.setdefault(run["gang"], []).append(run)
        self.fleet.record.line(
            f"run {task} {number} on {self.id}: begins"
            + (f", checkpoint {saved}" if saved else ""))
        return 200, {"clock-ms": self.clock_ms()}


Fleet.check_ticket = None


class Advice:
    """The advice service: admits every runner, with tickets."""

    def __init__(self, fleet, policy):
        self.fleet, self.policy = fleet, policy
        self.tickets = {}

    async def start(self):
        self.http = await HttpServer(self.handle).start()
        self.address = self.http.address
        self.fleet.check_ticket = self.check
        return self

    async def handle(self, method, path, query, headers, body):
        delay_ms = self.policy["decide-ms"] + self.policy["each-ms"] * len(body["workers"])
        await asyncio.sleep(delay_ms / 1000)
        rows = []
        for worker in body["workers"]:
            runner = next((known for known in self.fleet.runners if known.id == worker), None)
            if runner is None:
                continue
            ticket = f"{random.getrandbits(48):012x}"
            until_ms = now_ms() + self.policy["valid-ms"]
            self.tickets[ticket] = (body["step"], worker, runner.born, until_ms)
            rows.append([worker, ticket])
        return 200, {"admitted": rows}

    def check(self, runner, body):
        step = body["task"].rsplit(".", 1)[0]
        known = self.tickets.get(body.get("ticket"))
        return (known is not None and known[:3] == (step, runner.id, runner.born)
                and now_ms() <= known[3])


# Hosts -----------------------------------------------------------------------------------------


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Host:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, cell, number):
        self.cell, self.name = cell, f"edge-riga-hall-{number + 1}"
        self.ip = f"127.0.0.{11 + number}"
        self.front, self.ready = (f"{self.ip}:{free_port(self.ip)}" for _ in range(2))
        control, internal = free_port(self.ip), free_port(self.ip)
        settings = {
            "node-name": self.name, "role": "queue", "machine-class": "edge",
            "serves": ["edge"], "ip": self.ip, "zone": "riga-hall", "region": "lv-central",
            "zones": {"riga-hall": "lv-central"},
            "listen-addrs": {"front": self.front, "ready": self.ready},
            "internal-ports": [internal, internal + 15], "seeds": [f"{self.ip}:{control}"],
            "bootstrap": True, "in-tolerance": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat-ms": HEARTBEAT_MS, "contracts": ["base", "sched", "platform", "advice"],
            "fault-tolerance": {"machines": 1, "zones": 1, "region-count": 0},
            "bounds": BOUNDS, "orders": "rpc",
            "advice": cell.advice.address if cell.advice else None,
            "platform": {"address": cell.store.address, "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "ttl-min-ms": 1000},
            "cloud": {"address": "", "rate-per-s": 60.0, "duties": [], "duty-per-s": 60.0},
        }
        self.settings = os.path.join(cell.folder, f"{self.name}.json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        command = shlex.split(self.cell.deploy["roles"]["queue"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.cell.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={**kept, "HEMLOCKROCK_CONFIG": self.settings})
        self.cell.record.line(f"host {self.name} starts")

    def kill(self):
        self.cell.record.line(f"host {self.name} is killed (SIGKILL)")
        self.process.kill()
        self.process.wait()

    def signal(self, number):
        self.cell.record.line(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Cell:
    """The platform, runners and hosts of a small deployment."""

    QUEUE = {"name": "r-check", "host": "novo.example", "prefix": "/gono/",
             "service": "trowel-judge", "priority": 0, "max-attempts": 3, "stretch": 1.5,
             "target-latency-ms": 250, "timeout-ms": 3000}

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="hemlock-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.advice, self.hosts, self.version = None, [], 0

    async def start(self, hosts=3, runners=8, queues=None, policy=None, **options):
        self.store = await Store().start()
        self.fleet = Fleet(self.store, self.record)
        if policy:
            self.advice = await Advice(self.fleet, policy).start()
        await self.fleet.add(runners, **options)
        await self.declare(queues or [self.QUEUE])
        self.hosts = [Host(self, number) for number in range(hosts)]
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            until_ms = now_ms() + 10_000
            while (await http(host.ready, "GET", "/readyz"))[0] != 200:
                if now_ms() > until_ms:
                    raise RuntimeError(f"{host.name} did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2)

    async def declare(self, queues):
        self.version += 1
        services = [{"name": name, "enforces-capacity": False}
                    for name in sorted({queue["service"] for queue in queues})]
        await self.store.put("op/config", {
            "version": self.version, "routes": queues, "services": services,
            "limits": {"max-body-bytes": 262144}})
        names = [queue["name"] for queue in queues]
        self.record.line(f"operator: configuration {self.version} with queues {names} is acknowledged")

    def leader(self):
        """The host that holds the leader key."""
        item = self.store.items.get("leader")
        if item is None:
            return None
        value = base64.b64decode(item["value"])
        return next((host for host in self.hosts if host.name.encode() in value), None)

    async def wait_for_leader(self, other_than=None, limit_s=10):
        until_ms = now_ms() + limit_s * 1000
        while now_ms() < until_ms:
            leader = self.leader()
            if leader and leader is not other_than and leader.is_running():
                return leader
            await asyncio.sleep(0.05)
        raise RuntimeError("no host leads")

    async def call(self, method, job, body=None, queue=None, host=None):
        queue = queue or self.QUEUE
        host = host or random.choice([host for host in self.hosts if host.is_running()])
        path = queue["prefix"] + job
        status, answer = await http(
            host.front, method, path, body,
            {"Host": queue["host"], "Hemlockrock-Deadline-Ms": "3000"})
        self.record.line(f"caller: {method} {path} at {host.name} -> {status or 'no answer'}"
                         + (f" {json.dumps(answer)}" if answer else ""))
        return status, answer

    async def submit(self, job, steps, plans, queue=None, limit_s=20):
        """Hands a job in, with retries; `plans` tells the runners what the tasks of each step do."""
        spec = json.dumps({"steps": {str(number): plan for number, plan in enumerate(plans)}})
        until_ms = now_ms() + limit_s * 1000
        while now_ms() < until_ms:
            status, _ = await self.call("POST", job, {"spec": spec, "steps": steps}, queue)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f"job {job} was not accepted")

    async def state(self, job, queue=None):
        status, answer = await self.call("GET", job, queue=queue)
        return answer.get("state") if status == 200 else status

    def close(self):
        for host in self.hosts:
            if host.is_running():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play):
    """Plays `play(cell)`, which returns whether the rule held, and exits as the issue asks."""
    folder = os.path.dirname(os.path.abspath(case_file))
    cell = Cell(folder)

    loop = asyncio.new_event_loop()
    try:
        held = loop.run_until_complete(asyncio.wait_for(play(cell), 110))
    except Exception as error:
        cell.record.line(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    else:
        code = HELD if held else BROKEN
        outcome = "the rule held" if held else "the rule was broken"
        cell.record.line(outcome)
        print(outcome)
    finally:
        cell.close()
    sys.stdout.flush()
    # Servers and heartbeats still run in the event loop: ends without waiting for them.
    os._exit(code)
