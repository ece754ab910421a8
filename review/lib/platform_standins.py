"""Stand-ins for the state service, the cloud, the workers and the users, as PROTOCOL-aspenwick.md describes them, and
the controllers as child processes. Standard library only; every address is a loopback address."""
import asyncio
import bisect
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def end_with_parent():
    """Runs in a new child: it gets SIGKILL when this process ends, however that happens."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port():
    """A port for a controller, below those that the system gives to connections and to the stand-ins."""
    while True:
        port = random.SystemRandom().randrange(20_000, 30_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """Writes record.txt: one JSON object a line, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **fields):
        self.file.write(json.dumps({"t": round(self.now(), 3), "what": what, **fields}) + "\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP/1.1

async def read_message(reader):
    """Returns the first line's words, the headers and the body; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    words = line.decode("latin-1").split(None, 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return words, headers, body


async def serve_http(handler, host="127.0.0.1", port=0):
    """handler(method, path, query, body) returns (status, object), or None for no answer at all."""

    async def on_connection(reader, writer):
        try:
            while message := await read_message(reader):
                words, _, body = message
                url = urllib.parse.urlsplit(words[1])
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                answer = await handler(words[0], url.path, query, json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, port, limit=1 << 20)
    return server.sockets[0].getsockname()[1]


class HttpClient:
    """One connection to one address, opened when needed."""

    def __init__(self, host, port):
        self.host, self.port, self.reader, self.writer = host, port, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, value=None, timeout=5.0):
        """Returns (status, object); (0, reason) if there was no answer."""
        try:
            return await asyncio.wait_for(self._request(method, path, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            self.close()
            return 0, type(e).__name__

    async def _request(self, method, path, value):
        if not self.writer:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 20)
        data = json.dumps(value).encode() if value is not None else b""
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\nContent-Length: "
                          f"{len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionResetError
        words, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(words[1]), json.loads(body) if body else {}


# ---------------------------------------------------------------- state service

class StateService:
    LATENCY_S = 0.004
    KEPT_CHANGES = 10_000

    def __init__(self, settings):
        self.rps, self.write_rps = settings["rps"], settings["write_rps"]
        self.value_bytes, self.txn_ops = settings["value_kb"] * 1024, settings["txn_ops"]
        self.rows, self.revision, self.leases, self.next_lease = {}, 1, {}, 1
        self.changes, self.dropped_to = [], 0  # (revision, prefix key, change)
        self.buckets = {"requests": [self.rps, time.monotonic()], "writes": [self.write_rps, time.monotonic()]}
        self.changed = asyncio.Condition()

    def allowed(self, name, rate, amount):
        bucket = self.buckets[name]
        now = time.monotonic()
        bucket[0], bucket[1] = min(rate, bucket[0] + (now - bucket[1]) * rate), now
        if bucket[0] < amount:
            return False
        bucket[0] -= amount
        return True

    def add_change(self, key, change):
        self.changes.append((self.revision, key, change))
        if len(self.changes) > self.KEPT_CHANGES:
            self.dropped_to = self.changes[0][0]
            del self.changes[0]

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [k for k, v in self.leases.items() if time.monotonic() > v[1]]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.rows.items() if v[2] == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            del self.rows[key]
            self.add_change(key, {"delete": key, "stamp": self.revision})
        await self.notify()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.LATENCY_S)
        if not self.allowed("requests", self.rps, 1):
            return 429, {}
        if method == "GET" and path == "/kv":
            under, since, page = query.get("under", ""), query.get("since", ""), min(int(query.get("page", 1000)), 1000)
            keys = sorted(k for k in self.rows if k.startswith(under) and k > since)
            rows, size = [], 0
            for key in keys[:page]:
                row = {"path": key, "value": self.rows[key][0], "stamp": self.rows[key][1]}
                size += len(json.dumps(row)) + 2
                if size > 500 * 1024:
                    break
                rows.append(row)
            return 200, {"rows": rows, "hasNext": len(rows) < len(keys), "ledgerRev": self.revision}
        if method == "GET" and path.startswith("/kv/"):
            row = self.rows.get(path[4:])
            if row is None:
                return 404, {"ledgerRev": self.revision}
            return 200, {"path": path[4:], "value": row[0], "stamp": row[1], **({"hold": row[2]} if row[2] else {})}
        if method == "GET" and path == "/changes":
            return await self.wait_for_changes(query)
        if method == "POST" and path == "/commit":
            return await self.commit(body)
        if method == "POST" and path == "/grants":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [body["lifeMs"] / 1000, time.monotonic() + body["lifeMs"] / 1000]
            return 200, {"hold": lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                await self.end_lease(lease)
                return 200, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"hold": lease}
        return 400, {}

    async def wait_for_changes(self, query):
        under, since = query.get("under", ""), int(query["since"])
        deadline = time.monotonic() + min(int(query.get("holdMs", 0)), 60_000) / 1000
        while True:
            if since < self.dropped_to:
                return 410, {}
            first = bisect.bisect_right(self.changes, since, key=lambda c: c[0])
            news = [c[2] for c in self.changes[first:] if c[1].startswith(under)]
            left = deadline - time.monotonic()
            if news or left <= 0:
                return 200, {"ledgerRev": self.revision, "news": news}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, body):
        guards, writes = body.get("guards", []), body.get("writes", [])
        if len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops or len(json.dumps(body)) > 64 * 1024:
            return 400, {"error": "too large"}
        if any("set" in w and len(json.dumps(w["value"])) > self.value_bytes for w in writes):
            return 400, {"error": "value too large"}
        if writes and not self.allowed("writes", self.write_rps, len(writes)):
            return 429, {}
        if any(w.get("hold") and w["hold"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.rows.get(g["path"], (None, 0))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if writes:
            self.revision += 1
        for w in writes:
            if "delete" in w:
                if self.rows.pop(w["delete"], None) is not None:
                    self.add_change(w["delete"], {"delete": w["delete"], "stamp": self.revision})
            else:
                self.rows[w["set"]] = (w["value"], self.revision, w.get("hold"))
                self.add_change(w["set"], {"set": w["set"], "value": w["value"], "stamp": self.revision})
        await self.notify()
        return 200, {"ledgerRev": self.revision}


# ---------------------------------------------------------------- workers

class Task:
    def __init__(self, job, piece, attempt):
        self.job, self.piece, self.attempt = job, piece, attempt
        self.state, self.cause, self.stored = "fetching", None, False
        self.state_since = time.monotonic()
        self.ends_at = None  # while running: the end of its run

    def on_machine(self):
        return self.state in ("waiting", "running", "flushing")


class Worker:
    """A machine's worker."""

    def __init__(self, platform, name, machine_type, site, loaner):
        self.platform, self.name, self.type, self.site, self.loaner = platform, name, machine_type, site, loaner
        self.rented_at, self.up, self.gone = time.monotonic(), False, False
        self.stint, self.tally, self.baton, self.tasks, self.images = 1, 0, 0, {}, []
        self.port, self.lease_from, self.node = None, None, 0
        self.wake = asyncio.Event()

    def alive(self):
        return self.up and not self.gone

    def report(self):
        self.tally += 1
        pieces = []
        for t in self.tasks.values():
            piece = {"piece": t.piece, "try": t.attempt, "status": t.state}
            if t.cause:
                piece["cause"] = t.cause
            if t.stored:
                piece["stored"] = True
            pieces.append(piece)
        return {"rig": self.name, "endpoint": f"127.0.0.1:{self.port}", "rigtype": self.type["sku"], "site": self.site,
                "loaner": self.loaner, "stint": self.stint, "tally": self.tally, "baton": self.baton,
                "warningS": None, "pieces": pieces}

    def set_state(self, task, state, cause=None):
        was_on_machine = task.on_machine()
        task.state, task.cause, task.state_since = state, cause, time.monotonic()
        if task.on_machine() and not was_on_machine:
            self.platform.record.write("task on machine", piece=task.piece, attempt=task.attempt, machine=self.name)
        if not task.on_machine() and was_on_machine:
            self.platform.record.write("task left machine", piece=task.piece, attempt=task.attempt, machine=self.name,
                                       cause=cause)
        self.wake.set()

    def end_session_if_lapsed(self):
        if time.monotonic() - self.lease_from <= self.platform.workers_settings["lease_s"]:
            return
        for t in list(self.tasks.values()):
            if t.state != "ended":
                self.set_state(t, "ended", "lease")
        self.tasks.clear()
        self.stint, self.tally, self.lease_from = self.stint + 1, 0, time.monotonic()
        self.platform.record.write("session", machine=self.name, stint=self.stint)

    def execute(self, orders, by):
        for o in orders:
            self.platform.record.write("order", machine=self.name, by=by, verb=o["verb"], piece=o["piece"], attempt=o["try"])
            key = (o["piece"], o["try"])
            if o["verb"] == "launch" and key not in self.tasks:
                self.launch(key)
            elif o["verb"] == "halt" and key in self.tasks and self.tasks[key].state != "ended":
                self.set_state(self.tasks[key], "ended", "stopped")
            elif o["verb"] == "forget" and key in self.tasks and self.tasks[key].state == "ended":
                del self.tasks[key]

    def launch(self, key):
        piece, attempt = key
        job_id, _, index = piece.rpartition("/")
        job = self.platform.jobs.get(job_id)
        task = Task(job, piece, attempt)
        self.tasks[key] = task
        live = [t for k, t in self.tasks.items() if t.state != "ended" and k != key]
        if job is None or int(index) >= job["pieces"]:
            return self.set_state(task, "ended", "no_such")
        if any(t.piece == piece for t in live):
            return self.set_state(task, "ended", "in_use")
        for resource in ("vcpus", "cards", "ramGb"):
            if sum(t.job[resource] for t in live) + job[resource] > self.type[resource] + 1e-9:
                return self.set_state(task, "ended", "no_room")
        if piece in self.platform.completed:
            return self.set_state(task, "ended", "done")
        self.set_state(task, "fetching")

    def step(self):
        """Lets time pass for the tasks."""
        if not self.alive():
            return
        self.end_session_if_lapsed()
        now = time.monotonic()
        for t in list(self.tasks.values()):
            if t.state == "fetching":
                cached = not t.job["bundle"] or t.job["bundle"] in self.images
                if cached or now - t.state_since >= t.job["sizeGb"] / self.type["fetchGbPerS"]:
                    if not cached:
                        self.images.append(t.job["bundle"])
                    self.set_state(t, "waiting" if t.job["shape"] == "group" else "running")
                    if t.state == "running" and t.job["shape"] == "array":
                        t.ends_at = now + t.job["guessS"]
            elif t.state == "waiting":
                if now - t.state_since >= self.platform.workers_settings["gang_wait_s"]:
                    self.set_state(t, "ended", "incomplete")
            elif t.state == "running" and t.ends_at and now >= t.ends_at:
                self.platform.completed.add(t.piece)
                self.set_state(t, "ended", "done")

    async def handle(self, method, path, _query, body):
        if not self.alive():
            return None
        self.end_session_if_lapsed()
        if path == "/show":
            return 200, self.report()
        if "baton" not in body or "stint" not in body:
            return 400, {}
        if body["baton"] < self.baton or body["stint"] != self.stint:
            return 409, self.report()
        self.baton = body["baton"]
        self.execute(body.get("orders", []), "push")
        return 200, self.report()

    async def run(self):
        self.port = await serve_http(self.handle)
        await asyncio.sleep(self.type["startupS"])
        if self.gone:
            return
        self.up, self.lease_from = True, time.monotonic()
        names = list(self.platform.nodes)
        self.node = random.randrange(len(names))
        connections = {n: HttpClient("127.0.0.1", self.platform.nodes[n].port) for n in names}
        while self.alive():
            self.end_session_if_lapsed()
            self.wake.clear()
            sent, stint, name = time.monotonic(), self.stint, names[self.node]
            status, answer = await connections[name].request("POST", "/hello", self.report(), 4.0)
            if not self.alive():
                break
            self.end_session_if_lapsed()
            if status == 421 and answer.get("foreman") in names and answer["foreman"] != name:
                connections[name].close()
                self.node = names.index(answer["foreman"])
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            if status != 200:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1)
                continue
            if stint == self.stint and answer.get("baton", -1) >= self.baton:
                self.baton, self.lease_from = answer["baton"], sent
                self.execute(answer.get("orders", []), "answer")
            interval = self.platform.workers_settings["report_s"] * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0, sent + 0.5 - time.monotonic()))
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.01, sent + interval - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        for c in connections.values():
            c.close()


# ---------------------------------------------------------------- cloud

class Cloud:
    """`types`: as /flavors tells them. `capacity`: (type, zone, spot) -> machines at once; others: none."""
    LATENCY_S = 0.08

    def __init__(self, platform, types, capacity, list_lag_s):
        self.platform, self.types, self.capacity, self.list_lag_s = platform, types, capacity, list_lag_s
        self.machines, self.rentals, self.count, self.past_lists = {}, {}, 0, []

    def rented(self, key):
        return sum(1 for w in self.machines.values() if (w.type["sku"], w.site, w.loaner) == key)

    async def keep_lists(self):
        """The machine list as it is told: some time ago."""
        while True:
            now = time.monotonic()
            rows = [{"nameId": w.name, "endpoint": f"127.0.0.1:{w.port}", "rigtype": w.type["sku"], "site": w.site,
                     "loaner": w.loaner, "status": "running" if w.up else "booting",
                     "ageS": now - w.rented_at} for w in self.machines.values()]
            self.past_lists.append((now, sorted(rows, key=lambda r: r["nameId"])))
            while len(self.past_lists) > 1 and self.past_lists[1][0] <= now - self.list_lag_s:
                del self.past_lists[0]
            await asyncio.sleep(0.25)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.LATENCY_S)
        if path == "/flavors":
            return 200, {"rigtypes": self.types}
        if method == "GET" and path == "/rentals":
            rows = [r for r in self.past_lists[0][1] if r["nameId"] > query.get("since", "")]
            page = int(query.get("page", 500))
            return 200, {"rigs": rows[:page], "hasNext": len(rows) > page}
        if path == "/rentals":
            if body["hire"] in self.rentals:
                return 200, {"rigs": self.rentals[body["hire"]]}
            key = (body["rigtype"], body["site"], body["loaner"])
            names = []
            while len(names) < min(body["count"], 50) and self.rented(key) < self.capacity.get(key, 0):
                self.count += 1
                name = f"i-{self.count:06d}"
                machine_type = next(t for t in self.types if t["sku"] == body["rigtype"])
                worker = Worker(self.platform, name, machine_type, body["site"], body["loaner"])
                self.machines[name] = worker
                asyncio.get_running_loop().create_task(worker.run())
                names.append(name)
            self.platform.record.write("rental", request=body, granted=names)
            if not names:
                return 503, {"error": "no capacity"}
            self.rentals[body["hire"]] = names
            return 200, {"rigs": names}
        if path == "/rentals/delete":
            for name in body["rigs"]:
                if worker := self.machines.pop(name, None):
                    worker.gone = True
                    for t in worker.tasks.values():
                        if t.state != "ended":
                            worker.set_state(t, "ended", "machine deleted")
            self.platform.record.write("deleted", machines=body["rigs"])
            return 200, {}
        return 400, {}

    def take_back(self, name):
        """The cloud takes a spot machine back without notice: it is gone with all that is on it, nothing there answers
        any more, and the list omits it."""
        worker = self.machines.pop(name)
        assert worker.loaner
        worker.gone = True
        self.platform.record.write("spot machine taken back", machine=name)
        for t in worker.tasks.values():
            if t.state != "ended":
                worker.set_state(t, "ended", "machine taken back")


# ---------------------------------------------------------------- controllers

class Node:
    def __init__(self, platform, name):
        self.platform, self.name, self.port, self.peer_port = platform, name, free_port(), free_port()
        self.process, self.ended_by_itself = None, 0

    def start(self):
        log = open(os.path.join(self.platform.work_dir, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "aspenwick"), "--config", os.path.join(self.platform.work_dir, self.name + ".json")],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT, preexec_fn=end_with_parent,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        log.close()
        self.platform.record.write("controller starts", node=self.name)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process = None
        self.platform.record.write("controller killed", node=self.name)

    async def keep_running(self, back_after_s):
        """As the platform does: starts the process again some seconds after its end."""
        while True:
            await asyncio.sleep(0.1)
            if self.process and self.process.poll() is not None:
                self.ended_by_itself += 1
                code = self.process.returncode
                self.process = None
                self.platform.record.write("controller ended by itself", node=self.name, returncode=code,
                                           signal=signal.Signals(-code).name if code < 0 else None)
            if self.process is None:
                await asyncio.sleep(back_after_s)
                if not self.platform.stopping:
                    self.start()


class Platform:
    def __init__(self, record, teams, zones, types, capacity, nodes=3, workers=None, state=None, objectives=(),
                 back_after_s=6.0):
        self.record, self.jobs, self.completed, self.stopping = record, {}, set(), False
        self.back_after_s = back_after_s
        self.workers_settings = workers or {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0,
                                            "cancel_s": 37.0}
        self.state_settings = state or {"rps": 80.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20}
        self.temporary = tempfile.TemporaryDirectory(prefix="aspenwick-review-")
        self.work_dir = self.temporary.name
        self.teams, self.zones, self.objectives = teams, zones, list(objectives)
        self.nodes = {f"rig-{i}": Node(self, f"rig-{i}") for i in range(nodes)}
        self.cloud = Cloud(self, types, capacity, 6.0)
        self.state = StateService(self.state_settings)

    def settings(self, node, services):
        zone_of = {n: self.zones[i % len(self.zones)] for i, n in enumerate(self.nodes)}
        return {"host_name": node.name, "location": zone_of[node.name], "listen": f"127.0.0.1:{node.port}",
                "peer_listen": f"127.0.0.1:{node.peer_port}",
                "siblings": [{"host_name": n.name, "location": zone_of[n.name], "peer_addr": f"127.0.0.1:{n.peer_port}"}
                             for n in self.nodes.values() if n is not node],
                "services": services,
                "params": {"nodes": len(self.nodes), "zones": sorted(self.zones), "teams": self.teams,
                           "objectives": self.objectives, "workers": self.workers_settings,
                           "state": self.state_settings, "cloud": {"rps": 3.0, "list_lag_s": 6.0},
                           "limits": {"cpu": 0.152, "ram_mb": 128.0, "sockets": 1854}, "clock_error_ms": 250.0}}

    async def start(self):
        loop = asyncio.get_running_loop()
        loop.create_task(self.state.expire_leases())
        loop.create_task(self.cloud.keep_lists())
        loop.create_task(self.advance())
        services = {"state": f"127.0.0.1:{await serve_http(self.state.handle)}",
                    "cloud": f"127.0.0.1:{await serve_http(self.cloud.handle)}"}
        for node in self.nodes.values():
            with open(os.path.join(self.work_dir, node.name + ".json"), "w", encoding="utf-8") as f:
                json.dump(self.settings(node, services), f)
        for node in self.nodes.values():
            node.start()
            loop.create_task(node.keep_running(self.back_after_s))

    async def advance(self):
        while True:
            await asyncio.sleep(0.05)
            for w in list(self.cloud.machines.values()):
                w.step()
            self.advance_gangs()

    def advance_gangs(self):
        """A gang's tasks start together once the last has its image, end together, and end when one is gone."""
        gangs = {}
        for w in self.cloud.machines.values():
            for t in w.tasks.values() if w.alive() else ():
                if t.state in ("waiting", "running") and t.job["shape"] == "group":
                    gangs.setdefault((t.job["nameId"], t.attempt), []).append((w, t))
        now = time.monotonic()
        for members in gangs.values():
            job = members[0][1].job
            running = [m for m in members if m[1].state == "running"]
            if len(members) == job["pieces"] and len(running) == 0:
                for w, t in members:
                    w.set_state(t, "running")
                    t.ends_at = now + job["guessS"]
            elif running and len(running) < job["pieces"]:
                for w, t in running:
                    t.ends_at = None
                    t.alone_since = getattr(t, "alone_since", now)
                    if now - t.alone_since >= self.workers_settings["gang_peer_s"]:
                        w.set_state(t, "ended", "mates_gone")

    def stop(self):
        self.stopping = True
        for node in self.nodes.values():
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    def keep_logs(self):
        """For a look at a failure by hand: copies the controllers' logs to the folder that KEEP_LOGS names, if any."""
        if folder := os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                shutil.copy(os.path.join(self.work_dir, node + ".log"), folder)


# ---------------------------------------------------------------- users

class User:
    """Sends its requests to the controllers in turn, as a load balancer spreads connections, and repeats them as the
    protocol says."""

    def __init__(self, platform):
        self.platform, self.next_node = platform, 0

    async def request(self, method, path, value=None, timeout=5.0):
        """One request. If a controller refuses the connection, the next one is tried, up to three in all."""
        for _ in range(3):
            node = list(self.platform.nodes.values())[self.next_node % len(self.platform.nodes)]
            self.next_node += 1
            client = HttpClient("127.0.0.1", node.port)
            status, answer = await client.request(method, path, value, timeout)
            client.close()
            if answer != "ConnectionRefusedError":
                break
        self.platform.record.write("request", node=node.name, request=f"{method} {path}", status=status, answer=answer,
                                   **({"body": value} if value and path == "/v1/jobs" else {}))
        return status, answer

    async def until_answered(self, method, path, value, final, for_s=60):
        deadline = time.monotonic() + for_s
        while True:
            status, answer = await self.request(method, path, value)
            if status in final or time.monotonic() > deadline:
                return status, answer
            await asyncio.sleep(1)

    async def submit(self, job):
        self.platform.jobs[job["nameId"]] = job  # users upload the description
        return await self.until_answered("POST", "/v1/jobs", job, (200, 201, 400, 422))

    async def cancel(self, job_id):
        return await self.until_answered("POST", f"/v1/jobs/{job_id}/withdraw", {}, (200, 404))

    async def poll(self, job_id):
        return await self.request("GET", f"/v1/jobs/{job_id}", None, 2.0)

    async def wait_for(self, job_id, statuses, for_s, every_s=1.0):
        """Polls until the job has one of the statuses; returns the last one seen."""
        deadline, seen = time.monotonic() + for_s, None
        while True:
            status, answer = await self.poll(job_id)
            if status == 200:
                seen = answer["status"]
            if seen in statuses or time.monotonic() > deadline:
                return seen
            await asyncio.sleep(every_s)


def job(number, **fields):
    """A submission, as PROTOCOL-aspenwick.md lists the fields."""
    return {"nameId": f"j-{number:06d}", "jobclass": "batch", "owner": "alpha", "shape": "array", "rank": "normal",
            "pieces": 1, "vcpus": 1.0, "cards": 0.0, "ramGb": 1.0, "bundle": "img-01", "sizeGb": 0.2, "rigtypes": None,
            "site": None, "together": False, "spread": False, "loaner": True, "guessS": 5.0, "snapshotEveryS": 0.0,
            "snapshotS": 0.0, "dueS": None, **fields}


def team(name, cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0):
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": gpus, "gpus_max": gpus_max}


def run(folder, scenario, limit_s=115):
    """Runs `scenario(record)`, which returns the exit code, and ends all that it started."""
    record = Record(os.path.join(folder, "record.txt"))
    try:
        code = asyncio.run(asyncio.wait_for(scenario(record), limit_s))
    except Exception as e:  # an error of the test itself says nothing about the rule
        record.write("could not run", why=repr(e))
        code = 2
    record.write("verdict", code=code, meaning={0: "rule held", 1: "rule broken", 2: "could not run"}[code])
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code])
    return code
