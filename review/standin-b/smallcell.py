"""A small deployment on loopback addresses for the cases 6 to 9.

The queue hosts are the project's own program, one process each. The platform (metadata store,
runners) and the consumers are stand-ins in this process. They follow PROTOCOL.md; where it is
silent they behave like sound ones.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/hemlock-queue"
HOLD_MAX_MS = 10_000
STOP_MS = 100
GANG_TIMEOUT_MS = 3_000
RESTORE_MS = 600
PING_MS = 1_500


def mono_ms():
    return int(time.monotonic() * 1000)


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


# ---------------------------------------------------------------------------------------- HTTP


class HttpServer:
    """A keep-alive HTTP/1.1 server; `handler(method, path, query, headers, body)` returns
    (status, object)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.port = 0
        self.is_cut = False  # behind a partition: nothing arrives, and no answer leaves

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self):
        """Breaks off all connections at once, as the end of the process would."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = b""
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    while True:
                        size = int((await reader.readline()).split(b";")[0], 16)
                        body += await reader.readexactly(size)
                        await reader.readexactly(2)
                        if size == 0:
                            break
                else:
                    length = int(headers.get("content-length", "0") or 0)
                    if length:
                        body = await reader.readexactly(length)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                path = urllib.parse.unquote(url.path)
                answer = None
                if not self.is_cut:
                    answer = await self.handler(method, path, query, headers, body)
                if answer is None or self.is_cut:  # no answer, and nothing more on this connection
                    while await reader.read(4096):
                        pass
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


async def http(port, method, path, headers=None, body=None, timeout_s=3.0):
    """One request on a connection of its own; returns (status, object), status 0 for no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(text)}"]
            given = {"Host": f"127.0.0.1:{port}", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            lines += ["Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + text)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status, length = int(head.split(b" ", 2)[1]), 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.strip().lower() == b"content-length":
                    length = int(value)
            rest = await reader.readexactly(length)
            try:
                return status, json.loads(rest) if rest else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None


# --------------------------------------------------------------------------------------- store


class Store:
    """The platform's metadata store."""

    LATENCY_S = 0.004

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, puts, deletes=()):
        """Applies a change; `puts` has rows of key, value (bytes) and lease."""
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            if known and known["lease"] in self.leases:
                self.leases[known["lease"]]["keys"].discard(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created-at": known["created-at"] if known else self.revision,
                "lease": lease or 0,
            }
            self.items[key] = item
            if lease:
                self.leases[lease]["keys"].add(key)
            self.history.append((self.revision, key, item))
        for key in deletes:
            known = self.items.pop(key, None)
            if known:
                if known["lease"] in self.leases:
                    self.leases[known["lease"]]["keys"].discard(key)
                self.history.append((self.revision, key, None))
        self._notify()
        return self.revision

    def grant(self, ttl_ms):
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = {"ttl": ttl_ms, "ends": mono_ms() + ttl_ms, "keys": set()}
        return lease

    def keep(self, lease):
        if lease not in self.leases:
            return False
        self.leases[lease]["ends"] = mono_ms() + self.leases[lease]["ttl"]
        return True

    def end_lease(self, lease):
        known = self.leases.pop(lease, None)
        if known and known["keys"]:
            self.write([], list(known["keys"]))
        return known is not None

    async def expire(self):
        while True:
            now = mono_ms()
            for lease in [x for x, known in self.leases.items() if known["ends"] <= now]:
                self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.LATENCY_S)
        value = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            after, ends = int(query["after"]), mono_ms() + int(query["wait-ms"])
            while True:
                rows = [
                    row
                    for row in self.history
                    if row[0] > after and row[1].startswith(query["prefix"])
                ]
                if rows or mono_ms() >= ends:
                    events = [
                        item or {"key": key, "revision": at, "deleted": True}
                        for at, key, item in rows
                    ]
                    return 200, {"events": events, "at": self.revision}
                changed = self.changed
                left = max(0.001, (ends - mono_ms()) / 1000)
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            rows = value.get("expected", [])
            current = [self.items.get(row["key"]) for row in rows]
            holds = all(
                (item["revision"] if item else 0) == row["revision"]
                for row, item in zip(rows, current)
            )
            if not holds:
                absent = lambda row: {"key": row["key"], "value": "", "revision": 0}
                return 412, {"items": [i or absent(r) for r, i in zip(rows, current)]}
            puts = [
                (put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
                for put in value.get("puts", [])
            ]
            if any(lease and lease not in self.leases for _, _, lease in puts):
                return 404, {}
            return 200, {"revision": self.write(puts, value.get("deletes", []))}
        if path == "/kv-lease":
            return 200, {"lease": self.grant(value["ttl-ms"]), "ttl-ms": value["ttl-ms"]}
        if path.startswith("/kv-keep/"):
            return (200, {}) if self.keep(int(path.rsplit("/", 1)[1])) else (404, {})
        if path.startswith("/kv-lease-end/"):
            return (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 400, {}


# ------------------------------------------------------------------------------------- runners


class Run:
    def __init__(self, task, number, order, now):
        self.task, self.number, self.order = task, number, order
        self.begun = now
        self.checkpoint = order.get("checkpoint", "")
        self.worked_from = None  # time from which it works, on the monotonic clock
        self.done_before = 0.0
        self.ending = None
        self.pace = 100


class Runner:
    """One runner: a worker that runs tasks. `life` counts its lives."""

    def __init__(self, cell, name):
        self.cell, self.name, self.cpu, self.mem_mb = cell, name, 16_000, 32_768
        self.server = None
        self.port = 0
        self.is_up = False
        self.keep_id = True
        self.labels = ["kind-a", "rack-1"]
        self.orders = 0
        self.life = 0
        self.listed_as = None
        self.lease = None

    @property
    def id(self):
        return self.name if self.keep_id else f"{self.name}-{self.life}"

    async def start(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.clock_from = mono_ms()
        self.token = 0
        self.until = 0
        self.runs = {}
        self.ended = []
        self.end_count = 0
        self.ended_ms = {}
        self.past = {}
        self.event = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.port = await self.server.start(self.port)
        self.is_up = True
        self.cell.log("runner_up", runner=self.id, life=self.life)
        self.ticker = asyncio.ensure_future(self.tick())
        self.pinger = asyncio.ensure_future(self.ping())

    async def crash(self):
        """The process ends: nothing runs any more, and it says nothing."""
        self.cell.log("runner_crash", runner=self.id, running=self.running_names())
        self.is_up = False
        self.ticker.cancel()
        self.pinger.cancel()
        for run in list(self.runs.values()):
            self.cell.run_over(self, run, "crashed")
        self.runs = {}
        await self.server.stop()

    def running_names(self):
        return [f"{run.task}:{run.number}" for run in self.runs.values()]

    def clock(self):
        return mono_ms() - self.clock_from

    async def ping(self):
        sequence = 0
        while True:
            sequence += 1
            store = self.cell.store
            if self.lease is None or not store.keep(self.lease):
                self.lease = store.grant(3 * PING_MS)
            record = {
                "service": self.cell.service, "address": f"127.0.0.1:{self.port}", "zone": "z-a",
                "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "sequence": sequence, "labels": self.labels, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            }
            key = f"servers/{self.id}"
            store.write([(key, json.dumps(record).encode(), self.lease)])
            await asyncio.sleep(PING_MS / 1000)

    def end(self, run, how):
        self.runs.pop(run.task, None)
        self.past[run.task] = max(self.past.get(run.task, 0), run.number)
        self.end_count += 1
        saved = "" if how == "done" else run.checkpoint
        self.ended.append([self.end_count, run.task, run.number, how, saved])
        self.ended_ms[self.end_count] = mono_ms()
        self.cell.run_over(self, run, how)
        self.event.set()
        self.event = asyncio.Event()

    async def tick(self):
        while True:
            now = mono_ms()
            if self.runs and self.clock() >= self.until:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.ending is not None and now >= run.ending:
                    self.end(run, "stopped")
                    continue
                how = self.cell.advance(self, run, now)
                if how:
                    self.end(run, how)
            await asyncio.sleep(0.01)

    def status(self):
        rows = [
            [run.task, run.number, run.checkpoint, self.cell.percent(run), self.cell.load(self, run)]
            for run in self.runs.values()
        ]
        return {
            "clock-ms": self.clock(), "born": self.born, "running": rows,
            "ended-runs": self.ended[:500],
        }

    async def handle(self, method, path, query, headers, body):
        if headers.get("hemlockrock-expected-instance") not in (None, self.id):
            return 421, {"clock-ms": self.clock()}
        order = json.loads(body) if body else {}
        self.orders += 1
        delay_s = self.cell.late_s(self, path, order)
        if delay_s is not None:
            self.cell.log("order_held_back", runner=self.id, path=path, order=order, by_s=delay_s)
            self.cell.background.append(asyncio.ensure_future(self.carry_out(path, order, delay_s)))
            return None
        return await self.execute(path, order)

    async def carry_out(self, path, order, delay_s):
        """Carries out an order that was not answered."""
        life = self.life
        await asyncio.sleep(delay_s)
        if self.is_up and self.life == life:
            status, value = await self.execute(path, order)
            self.cell.log(
                "order_carried_out", runner=self.id, path=path, order=order, status=status,
                reason=value.get("reason", "-"),
            )

    async def execute(self, path, order):
        token = order.get("fencing-token", 0)
        refuse = lambda reason: (409, {"clock-ms": self.clock(), "reason": reason})
        if token < self.token:
            return refuse("fence")
        self.token = token
        if order.get("until-ms"):
            limit = self.clock() + HOLD_MAX_MS
            self.until = max(self.until, min(order["until-ms"], limit))
        if path == "/hold":
            self.ended = [row for row in self.ended if row[0] > order.get("last-seen", 0)]
            if not self.ended and order.get("wait-ms"):
                try:
                    await asyncio.wait_for(self.event.wait(), order["wait-ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, self.status()
        if path == "/run-start":
            task, number = order["task"], order["run"]
            known = self.runs.get(task)
            if known and known.number == number:
                return 200, {"clock-ms": self.clock()}
            if number <= self.past.get(task, 0) or known:
                return refuse("old")
            if order["until-ms"] <= self.clock():
                return refuse("late")
            run = Run(task, number, order, mono_ms())
            self.runs[task] = run
            self.cell.run_begun(self, run)
            return 200, {"clock-ms": self.clock()}
        if path == "/run-stop":
            task, number = order["task"], order["run"]
            self.past[task] = max(self.past.get(task, 0), number)
            run = self.runs.get(task)
            if run and run.number <= number and run.ending is None:
                run.ending = mono_ms() + STOP_MS
            return 200, {"clock-ms": self.clock()}
        if path == "/pace":
            run = self.runs.get(order["task"])
            if run and run.number == order["run"]:
                run.pace = order["percent"]
                self.cell.log("pace", task=run.task, run=run.number, percent=run.pace)
            return 200, {"clock-ms": self.clock()}
        return 400, {"clock-ms": self.clock()}


# ---------------------------------------------------------------------------------- queue hosts


class Host:
    """One queue host: a process of the project."""

    def __init__(self, cell, number):
        self.cell, self.number, self.name = cell, number, f"edge-{number}"
        ports = cell.free_ports(4)
        self.front, self.ready = ports[0], ports[1]
        self.peer = ports[2]
        self.process = None
        self.path = os.path.join(cell.directory, f"{self.name}.json")
        settings = {
            "node-name": self.name, "role": "queue", "machine-class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": "z-a", "region": "r", "zones": {"z-a": "r"},
            "listen-addrs": {
                "front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}",
            },
            "internal-ports": [self.peer, self.peer + 1], "seeds": [], "bootstrap": True,
            "limits": {
                "cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                "link-mbps": 1000.0, "disk-mb": 0,
            },
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": PING_MS,
            "bounds": cell.bounds, "orders": "rpc", "advice": "",
            "platform": {
                "address": f"127.0.0.1:{cell.store.server.port}", "form": "kv",
                "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
                "value-bytes": 1048576, "ttl-min-ms": 1000,
            },
        }
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.cell.directory, f"{self.name}.log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["HEMLOCKROCK_CONFIG"] = self.path
        try:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, PROGRAM), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        except OSError as error:
            raise CannotRun(f"{PROGRAM} does not start: {error}") from error
        self.cell.log("host_start", host=self.name)

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.is_up():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.cell.log("host_killed", host=self.name)

    async def until_ready(self, limit_s=15):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            status, _ = await http(self.ready, "GET", "/readyz", timeout_s=1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")


# ----------------------------------------------------------------------------------------- cell


class Cell:
    """Store, runners, hosts and consumers. `work` maps a job id to what its tasks do."""

    bounds = {
        "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
        "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
        "rollback-slack-ms": 250, "outer-ms": 5000, "recovery-s": 12, "hold-max-ms": HOLD_MAX_MS,
        "stop-grace-ms": 900, "gang-timeout-ms": GANG_TIMEOUT_MS, "cancel_ms": 3000,
        "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far-factor": 1.5,
        "checkpoint-s": 1, "restore-ms": 600, "notice-ms": 4500, "lease-ms": 3000,
    }
    service = "store-orders"
    more_labels = {}  # by number of the runner
    sizes = {}  # processor and memory of runners of another size, by number

    def __init__(self, folder):
        self.folder = folder
        self.begun = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.hosts, self.runners, self.background = [], [], []
        self.runs = []  # all runs: dicts
        self.work = {}
        self.version = 0
        self.given_ports = set()
        self.gangs = {}

    def log(self, event, **fields):
        at = time.monotonic() - self.begun
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{at:8.3f} {event} {text}\n")
        self.record.flush()

    def now_s(self):
        return time.monotonic() - self.begun

    def free_ports(self, count):
        """The first of `count` free ports in a row, below the range of the kernel's own choice."""
        first = 20_000 + (os.getpid() * 37) % 9_000
        while True:
            ports = list(range(first, first + count))
            try:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                if not self.given_ports & set(ports):
                    self.given_ports |= set(ports)
                    return ports
            except OSError:
                pass
            first += count
            if first > 32_000:
                first = 20_000

    async def start(self, hosts, runners, routes):
        await self.store.server.start()
        self.background.append(asyncio.ensure_future(self.store.expire()))
        self.declare(routes)
        for number in range(runners):
            runner = Runner(self, f"i-{number}")
            runner.cpu, runner.mem_mb = self.sizes.get(number, (runner.cpu, runner.mem_mb))
            runner.labels = runner.labels + self.more_labels.get(number, [])
            self.runners.append(runner)
            await runner.start()
        for number in range(hosts):
            self.hosts.append(Host(self, number))
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.until_ready()

    async def stop(self):
        for host in self.hosts:
            if host.is_up():
                host.process.kill()
                await host.process.wait()
        for runner in self.runners:
            if runner.is_up:
                runner.ticker.cancel()
                runner.pinger.cancel()
                await runner.server.stop()
        for task in self.background:
            task.cancel()
        await self.store.server.stop()
        if os.environ.get("KEEP"):
            print(self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()

    def declare(self, routes):
        """Writes the next version of the configuration, as the operator does."""
        self.version += 3
        config = {
            "version": self.version, "routes": routes,
            "services": [{"name": self.service, "enforces-capacity": False}],
            "limits": {"max-body-bytes": 262_144},
        }
        self.store.write([("op/config", json.dumps(config).encode(), 0)])
        names = ",".join(route["name"] for route in routes)
        self.log("config_ack", version=self.version, routes=names)

    def route(self, name, priority=0, attempts=4):
        return {
            "name": name, "host": f"{name}.example", "prefix": f"/{name}/",
            "service": self.service, "priority": priority, "max-attempts": attempts,
            "stretch": 1.5, "target-latency-ms": 250, "timeout-ms": 3000,
        }

    def leader(self):
        """The host that holds the leader key, by the peer address in it; None if there is none."""
        item = self.store.items.get("leader")
        if not item:
            return None
        value = base64.b64decode(item["value"])
        for host in self.hosts:
            if f"127.0.0.1:{host.peer}".encode() in value:
                return host
        return None

    async def call(self, host, method, route, path, body=None):
        headers = {
            "Host": f"{route}.example", "Content-Type": "application/json",
            "Hemlockrock-Deadline-Ms": "3000",
        }
        answer = await http(host.front, method, f"/{route}/{path}", headers, body)
        self.log("call", host=host.name, method=method, route=route, path=path, answer=answer)
        return answer

    async def submit(self, host, route, job, steps, work):
        """Hands a job in, with retries at any host until it is acknowledged."""
        self.work[job] = work
        body = {"spec": json.dumps({"job": job}), "steps": steps}
        for attempt in range(6):
            at = self.hosts[(self.hosts.index(host) + attempt) % len(self.hosts)]
            if at.is_up():
                status, _ = await self.call(at, "POST", route, job, body)
                if 200 <= status < 300:
                    return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job} was not accepted")

    async def state(self, route, job):
        """State of a job as told by the first host that answers; 'gone' for 410."""
        for host in self.hosts:
            if not host.is_up():
                continue
            status, value = await self.call(host, "GET", route, job)
            if status == 200:
                return value["state"]
            if status == 410:
                return "gone"
        return None

    # Hooks of the cases.

    def late_s(self, runner, path, order):
        """Seconds by which an order is carried out late, without an answer; None for an ordinary
        one."""
        return None

    def load(self, runner, run):
        """The fifth entry of a row of `running`."""
        return 0

    # ------------------------------------------------------------------------------ the tasks

    def work_of(self, run):
        job, _, step, index = run.task.split(".")
        return self.work.get(job, {}), int(step), int(index)

    def run_begun(self, runner, run):
        work, step, _ = self.work_of(run)
        entry = {
            "task": run.task, "run": run.number, "runner": runner.id, "life": runner.life,
            "from": self.now_s(), "to": None, "how": None,
            "checkpoint": run.order.get("checkpoint", ""),
        }
        self.runs.append(entry)
        run.entry = entry
        self.log(
            "run_begun", task=run.task, run=run.number, runner=runner.id, life=runner.life,
            checkpoint=entry["checkpoint"] or "-",
        )
        gang = work.get("gang", {}).get(step)
        if gang:
            key = (run.task.rsplit(".", 1)[0], run.number)
            self.gangs.setdefault(key, {"members": {}, "size": gang, "over": None})
            self.gangs[key]["members"][run.task] = (runner, run)
        else:
            run.worked_from = mono_ms()

    def run_over(self, runner, run, how):
        run.entry["to"], run.entry["how"] = self.now_s(), how
        self.log("run_over", task=run.task, run=run.number, runner=runner.id, how=how)
        key = (run.task.rsplit(".", 1)[0], run.number)
        gang = self.gangs.get(key)
        if gang and gang["over"] is None:
            gang["over"] = how

    def percent(self, run):
        work, step, _ = self.work_of(run)
        if run.worked_from is None:
            return 0
        if work.get("lasts"):
            return 100 if mono_ms() > run.worked_from + 300 else 0
        total = work.get("ms", 1000)
        return min(99, int(100 * (mono_ms() - run.worked_from + run.done_before) / total))

    def advance(self, runner, run, now):
        """How a run ends now; None if it goes on."""
        work, step, index = self.work_of(run)
        if not work:
            return "failed"
        key = (run.task.rsplit(".", 1)[0], run.number)
        gang = self.gangs.get(key)
        if gang:
            if gang["over"] is not None:
                return "done" if gang["over"] == "done" else "broken"
            if run.worked_from is None:
                if len(gang["members"]) == gang["size"]:
                    # A run that carries a checkpoint resumes from there after `restore-ms`.
                    for _, member in gang["members"].values():
                        saved = member.checkpoint.partition("-")[0]
                        member.done_before = 1000 * int(saved, 16) if saved else 0.0
                        member.worked_from = now + (RESTORE_MS if saved else 0)
                elif now > run.begun + GANG_TIMEOUT_MS:
                    return "alone"
                return None
        if work.get("saves"):
            # A new checkpoint with each second of work; all members of a gang have the same value.
            saved = int((now - run.worked_from + run.done_before) / 1000)
            if saved > 0:
                run.checkpoint = f"{saved:08x}-{run.task[:8]}"
        if work.get("lasts"):
            return None
        return "done" if now - run.worked_from + run.done_before >= work.get("ms", 1000) else None


def play(folder, story, limit_s=118, cell_type=Cell):
    """Plays `story(cell, trouble)`, which returns whether the rule was broken, and exits."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = cell_type(folder)

    async def whole():
        try:
            return await asyncio.wait_for(story(cell, trouble), limit_s)
        finally:
            await cell.stop()

    try:
        cell.log("begin", trouble=int(trouble))
        broken, text = asyncio.run(whole())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    with open(os.path.join(folder, "record.txt"), "a") as file:
        file.write(f"verdict {'broken' if broken else 'held'}: {text}\n")
    print(("broken: " if broken else "held: ") + text)
    sys.exit(1 if broken else 0)
