"""Starts a small cell on loopback addresses, and the helpers of the test scripts.

The hosts run the program of the deploy file with a settings file of the platform; the store, the
runners and the advice service are the stand-ins beside this file. Everything that is sent, answered
and run goes to the record of the case.
"""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

HELD, BROKEN, NOT_RUN = 0, 1, 2

SERVICE = "svc-1"
HOST_NAME = "shop.example"

# Bounds of the two small sites, in their settings.
BOUNDS = {
    "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6,
    "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000,
    "recovery-s": 12, "hold-max-ms": 10000, "stop-grace-ms": 900, "gang-timeout-ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "far-factor": 1.5, "checkpoint-s": 1, "restore-ms": 600, "notice-ms": 4500, "lease-ms": 3000,
}


class NotRun(Exception):
    """The case could not run."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as listener:
        listener.bind((ip, 0))
        return listener.getsockname()[1]


def route(name, prefix, advice=None, attempts=4, priority=0):
    declared = {"name": name, "host": HOST_NAME, "prefix": prefix, "kind": "non_idempotent",
                "timeout-ms": 3000, "target-latency-ms": 1200, "priority": priority,
                "service": SERVICE, "max-attempts": attempts, "stretch": 2.2}
    if advice:
        declared["advice"] = advice
    return declared


class Cell:
    def __init__(self, case_folder, hosts=3, runners=4, cpu=32000, mem=65536, advice=None,
                 has_store_proxies=False):
        self.folder = case_folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = tempfile.mkdtemp(prefix="hemlock-review-")
        self.record_path = os.path.join(case_folder, "record.txt")
        self.record = open(self.record_path, "w", buffering=1)
        self.runs_path = os.path.join(self.temp, "runs")
        open(self.runs_path, "w").close()
        self.begun = time.time()
        self.processes = []
        self.host_processes = {}
        self.runner_processes = {}
        self.next_runner = 1
        self.cpu, self.mem = cpu, mem
        self.advice = advice
        self.has_store_proxies = has_store_proxies
        self.store_proxies = {}
        self.version = 0
        self.host_count, self.runner_count = hosts, runners

    # Processes

    def __enter__(self):
        self.note("trouble" if self.has_trouble else "no trouble")
        self.store_address = f"127.0.0.1:{free_port()}"
        self.spawn_standin("store.py", self.store_address)
        self.wait_for(lambda: self.store("GET", "/kv-key?key=none")[0] == 404, 10, "the store")
        self.advice_address = None
        if self.advice:
            self.advice_address = f"127.0.0.1:{free_port()}"
            amounts = [str(self.advice[name]) for name in ("decide-ms", "each-ms", "valid-ms")]
            self.spawn_standin("advice.py", self.advice_address, *amounts)
        return self

    def __exit__(self, kind, error, _):
        if error is not None:
            self.note(f"not run: {error!r}")
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.note("the runs, as the runners saw them:")
        for event in self.events():
            at = event.pop("at") - self.begun
            self.record.write(f"{at:8.3f} runner {json.dumps(event)}\n")
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    def spawn(self, command, env, name):
        output = open(os.path.join(self.temp, f"{name}.out"), "ab")
        process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=output, stderr=output,
                                   stdin=subprocess.DEVNULL)
        output.close()
        self.processes.append(process)
        return process

    def spawn_standin(self, program, *arguments):
        command = [sys.executable, "-B", os.path.join(HERE, program), *arguments]
        return self.spawn(command, dict(os.environ),
                          os.path.basename(program) + str(len(self.processes)))

    def start(self, routes):
        """Declares the routes, starts the hosts and runners, and waits until they are ready."""
        self.declare(routes)
        for number in range(1, self.host_count + 1):
            self.start_host(number)
        for _ in range(self.runner_count):
            self.start_runner()
        for number in range(1, self.host_count + 1):
            self.wait_for(lambda: self.is_ready(number), 15, f"host {number}")
        self.wait_for(lambda: self.leader() is not None, 15, "a leader")
        time.sleep(2.5)

    def settings_path(self, number):
        path = os.path.join(self.temp, f"host-{number}.json")
        if not os.path.exists(path):
            ip = f"127.0.1.{number}"
            store_address = self.store_address
            if self.has_store_proxies:
                store_address = f"127.0.0.1:{free_port()}"
                self.store_proxies[number] = self.spawn_standin("proxy.py", store_address,
                                                                self.store_address)
            port = free_port(ip)
            settings = {
                "node-name": f"edge-zone-a-{number}", "role": "queue", "machine-class": "edge",
                "serves": ["edge"], "ip": ip, "zone": "zone-a", "region": "region-a",
                "zones": {"zone-a": "region-a"},
                "listen-addrs": {"front": f"{ip}:{free_port(ip)}", "ready": f"{ip}:{free_port(ip)}"},
                "internal-ports": [port, port + 15], "seeds": [], "bootstrap": True,
                "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                           "link-mbps": 1000.0, "disk-mb": 0},
                "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
                "bounds": BOUNDS, "orders": "rpc", "advice": self.advice_address or "",
                "platform": {"address": store_address, "form": "kv", "writes-per-s": 400,
                             "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                             "ttl-min-ms": 1000},
            }
            with open(path, "w") as file:
                json.dump(settings, file)
        return path

    def settings(self, number):
        with open(self.settings_path(number)) as file:
            return json.load(file)

    def start_host(self, number):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)[1].split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise NotRun("the program of the deploy file has not been built")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.temp,
               "HEMLOCKROCK_CONFIG": self.settings_path(number)}
        self.host_processes[number] = self.spawn(command, env, f"host-{number}")
        self.note(f"started host {number}")

    def signal_host(self, number, sent):
        os.kill(self.host_processes[number].pid, sent)
        if sent == signal.SIGKILL:
            self.host_processes[number].wait()
        self.note(f"host {number}: {signal.Signals(sent).name}")

    def cut_from_store(self, number, is_cut):
        sent = signal.SIGUSR1 if is_cut else signal.SIGUSR2
        os.kill(self.store_proxies[number].pid, sent)
        self.note(f"host {number}: {'cut off from the store' if is_cut else 'reaches the store'}")

    def start_runner(self, cpu=None, kind="a"):
        name = f"i-{self.next_runner:04d}"
        self.next_runner += 1
        address = f"127.0.0.1:{free_port()}"
        process = self.spawn_standin("runner.py", address, self.store_address, name, SERVICE,
                                     str(cpu or self.cpu), str(self.mem), kind, self.runs_path)
        self.runner_processes[name] = process
        self.note(f"started runner {name} at a loopback address")
        return name

    def crash_runner(self, name):
        process = self.runner_processes.pop(name)
        process.kill()
        process.wait()
        line = {"at": round(time.time(), 3), "who": name, "event": "down"}
        with open(self.runs_path, "a") as file:
            file.write(json.dumps(line) + "\n")
        self.note(f"runner {name}: SIGKILL")

    # The operator and the store

    def declare(self, routes):
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": SERVICE, "health-path": "/healthz", "max-conns": 64,
                                "protocol": "h1", "tls": False, "enforces-capacity": False,
                                "standby": False}],
                  "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                             "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        put = {"puts": [{"key": "op/config", "value": value}]}
        status, _ = self.store("POST", "/kv-txn", put, {"X-Platform": "1"})
        if status != 200:
            raise NotRun(f"the store refused the configuration: {status}")
        names = ", ".join(declared["name"] for declared in routes)
        self.note(f"operator: version {self.version} with the routes {names} is acknowledged")

    def store(self, method, path, body=None, headers=None):
        return self.http(self.store_address, method, path, body, headers)

    def leader(self):
        """Number of the host whose name stands in the leader key; None if there is none."""
        status, text = self.store("GET", "/kv-key?key=leader")
        if status != 200:
            return None
        value = base64.b64decode(json.loads(text)["value"])
        for number in self.host_processes:
            if f"edge-zone-a-{number}".encode() in value:
                return number
        return None

    # Callers

    def http(self, address, method, path, body=None, headers=None, timeout_s=3.0):
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            text = None if body is None else json.dumps(body)
            connection.request(method, path, text, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return None, ""
        except http.client.HTTPException:
            return None, ""
        finally:
            connection.close()

    def request(self, number, method, path, body=None, is_noted=True):
        """A caller's request at a host; the status is None if there was no answer."""
        headers = {"Host": HOST_NAME, "Hemlockrock-Deadline-Ms": "3000"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        address = self.settings(number)["listen-addrs"]["front"]
        status, text = self.http(address, method, path, body, headers)
        if is_noted:
            sent = f" {json.dumps(body)}" if body is not None else ""
            self.note(f"caller: {method} {path} at host {number}{sent} -> {status} {text[:200]}")
        return status, text

    def submit(self, prefix, job, spec, steps):
        """Submits a job as a caller does: again, at another host, until it is answered 2xx."""
        for attempt in range(5):
            number = sorted(self.host_processes)[attempt % len(self.host_processes)]
            body = {"spec": json.dumps(spec), "steps": steps}
            status, _ = self.request(number, "POST", prefix + job, body)
            if status is not None and 200 <= status < 300:
                return
            time.sleep(0.5)
        raise NotRun(f"job {job} was not accepted")

    def state(self, prefix, job, is_noted=True):
        """State of a job at the first host that answers 200; otherwise its status."""
        status = None
        for number in sorted(self.host_processes):
            status, text = self.request(number, "GET", prefix + job, is_noted=is_noted)
            if status == 200:
                return json.loads(text)["state"]
        return status

    def is_ready(self, number):
        address = self.settings(number)["listen-addrs"]["ready"]
        return self.http(address, "GET", "/readyz")[0] == 200

    # The record

    def note(self, text):
        self.record.write(f"{time.time() - self.begun:8.3f} {text}\n")

    def events(self):
        with open(self.runs_path) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def running(self):
        """Tasks that run now on runners that are up, each with its runner and its start."""
        running = {}
        for event in self.events():
            if event["event"] == "start":
                running[(event["task"], event["run"], event["who"])] = event["at"]
            elif event["event"] == "end":
                running.pop((event["task"], event["run"], event["who"]), None)
        return {task: (who, at) for (task, _, who), at in running.items()
                if who in self.runner_processes}

    def wait_for(self, condition, limit_s, what):
        ends = time.time() + limit_s
        while time.time() < ends:
            if condition():
                return
            time.sleep(0.05)
        raise NotRun(f"waited for {what} in vain")


def run(case_folder, play, **options):
    """Plays a case and exits with its verdict."""
    cell = Cell(case_folder, **options)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        with cell:
            verdict, reason = play(cell)
            cell.note(f"verdict: {'broken' if verdict == BROKEN else 'held'}: {reason}")
    except Exception as error:  # Any other failure of the test says nothing about the rule.
        verdict, reason = NOT_RUN, repr(error)
    print(f"{'trouble' if cell.has_trouble else 'no trouble'}: exit {verdict}: {reason}")
    sys.exit(verdict)
