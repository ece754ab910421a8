"""Stand-ins for the cloud and for the workers on its machines, speaking the protocol with leases, sessions and tokens."""
import asyncio
import json
import time

import aiohttp
from aiohttp import web

ANSWER_TIMEOUT_S = 4
TYPE = {"sku": "cpu8", "vcpus": 8, "cards": 0, "ramGb": 32, "localGb": 20, "fetchGbPerS": 1.0, "price": 0.8, "lowPrice": 0.3,
        "startupS": 1, "sites": ["z1", "z2", "z3"]}


class Task:
    def __init__(self, run_s):
        self.left = run_s
        self.cause = None  # why it has ended


class Worker:
    def __init__(self, world, name, zone, spot):
        self.world = world
        self.name, self.zone, self.spot = name, zone, spot
        self.port = None
        self.session, self.tally, self.token = 1, 0, 0
        self.tasks = {}  # (task, attempt) -> Task
        self.lease_ends = time.monotonic() + world.lease_s
        self.node = world.random.choice(world.node_names)
        self.hangs_until = self.deaf_until = self.mute_until = 0
        self.gone = False

    def holds_lease(self):
        return not self.gone and time.monotonic() <= self.lease_ends

    def hangs(self):
        return time.monotonic() < self.hangs_until

    def report(self):
        self.tally += 1
        pieces = []
        for (task, attempt), t in self.tasks.items():
            piece = {"piece": task, "try": attempt, "status": "ended" if t.cause else "running"}
            if t.cause:
                piece["cause"] = t.cause
            pieces.append(piece)
        return {"rig": self.name, "endpoint": f"127.0.0.1:{self.port}", "rigtype": TYPE["sku"], "site": self.zone,
                "loaner": self.spot, "stint": self.session, "tally": self.tally, "baton": self.token, "warningS": None,
                "pieces": pieces}

    def check_lease(self):
        if time.monotonic() <= self.lease_ends:
            return
        for task, _ in list(self.tasks):
            self.world.judge.ended(self, task)
        self.world.judge.results_lost(self)
        self.tasks.clear()
        self.session += 1
        self.lease_ends = time.monotonic() + self.world.lease_s

    def obey(self, order, ordered_at):
        key = (order["piece"], order["try"])
        known = self.tasks.get(key)
        if order["verb"] == "launch" and known is None:
            self.launch(key, ordered_at)
        elif order["verb"] == "halt" and known is not None and known.cause is None:
            known.cause = "stopped"
            self.world.judge.ended(self, key[0])
        elif order["verb"] == "forget" and known is not None and known.cause is not None:
            if known.cause == "done":
                self.world.judge.result_forgotten(key[0])
            del self.tasks[key]

    def launch(self, key, ordered_at=None):
        task, attempt = key
        self.tasks[key] = Task(self.world.run_time())
        if any(other[0] == task and other != key and t.cause is None for other, t in self.tasks.items()):
            self.tasks[key].cause = "in_use"
            return
        self.world.judge.started(self, task, attempt, ordered_at)

    def advance(self, seconds):
        if self.hangs():
            return
        self.check_lease()
        for (task, _), t in self.tasks.items():
            if t.cause is not None:
                continue
            t.left -= seconds
            if t.left <= 0:
                t.cause = "done"
                self.world.judge.ended(self, task, done=True)

    def commanded(self, body, ordered_at):
        """A direct command, on time or late; None if the machine doesn't execute it."""
        self.check_lease()
        good = body["baton"] >= self.token and body["stint"] == self.session
        if good:
            self.token = body["baton"]
            for order in body["orders"]:
                self.obey(order, ordered_at)
        return (200 if good else 409), self.report()


class World:
    """The cloud and all machines. `node_ports`: where each node listens for reports."""

    def __init__(self, random, judge, node_ports, settings, machines):
        self.random, self.judge = random, judge
        self.node_ports = node_ports
        self.node_names = sorted(node_ports)
        self.lease_s, self.report_s = settings["lease_s"], settings["report_s"]
        self.most_machines = machines
        self.workers = {}
        self.rented = 0
        self.answers = {}  # request name -> machines
        self.cut_zone = None  # (zone, node): they reach each other and nobody else
        self.late_commands = self.late_reports = 0.0
        self.slow_reports = 0.0  # part of reports that take up to a second, so that answers to commands overtake them

    def run_time(self):
        longer_than_a_lease = self.random.random() < 0.3
        return self.random.uniform(10, 40) if longer_than_a_lease else self.random.uniform(0.3, 4)

    async def close(self):
        await self.session.close()

    def reachable(self, worker, node):
        if self.cut_zone is None:
            return True
        zone, inside = self.cut_zone
        return (worker.zone == zone) == (node == inside)

    async def serve(self):
        """Returns the cloud's port."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0),
                                             timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S))
        self.runner = await self.start_app({"/do": self.handle_command, "/show": self.handle_show})
        cloud = await self.start_app({"/flavors": self.handle_types, "/rentals": self.handle_rentals,
                                      "/rentals/delete": self.handle_delete})
        self.by_port = {}
        asyncio.create_task(self.advance())
        return await self.listen(cloud)

    @staticmethod
    async def start_app(routes):
        app = web.Application()
        for path, handler in routes.items():
            app.router.add_route("*", path, handler)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        return runner

    @staticmethod
    async def listen(runner):
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    async def advance(self):
        step = 0.05
        last = time.monotonic()
        while True:
            await asyncio.sleep(step)
            now = time.monotonic()
            for worker in list(self.workers.values()):
                worker.advance(now - last)
            self.judge.check_cancelled()
            last = now

    # ---- cloud
    async def handle_types(self, _):
        return web.json_response({"rigtypes": [TYPE]})

    async def handle_rentals(self, request):
        if request.method == "GET":
            rows = [{"nameId": w.name, "endpoint": f"127.0.0.1:{w.port}", "rigtype": TYPE["sku"], "site": w.zone, "loaner": w.spot,
                     "status": "running", "ageS": 1.0} for _, w in sorted(self.workers.items())]
            return web.json_response({"rigs": rows, "hasNext": False})
        asked = await request.json()
        if asked["hire"] in self.answers:
            return web.json_response({"rigs": self.answers[asked["hire"]]})
        count = min(asked["count"], self.most_machines - len(self.workers))
        if count <= 0:
            return web.json_response({"error": "no capacity"}, status=503)
        names = []
        for _ in range(count):
            self.rented += 1
            names.append(f"i-{self.rented:06d}")
            self.workers[names[-1]] = Worker(self, names[-1], asked["site"], asked["loaner"])
            asyncio.create_task(self.boot(self.workers[names[-1]]))
        self.answers[asked["hire"]] = names
        return web.json_response({"rigs": names})

    async def handle_delete(self, request):
        for name in (await request.json())["rigs"]:
            worker = self.workers.pop(name, None)
            if worker is None:
                continue
            worker.gone = True
            for task, _ in worker.tasks:
                self.judge.ended(worker, task)
        return web.json_response({})

    # ---- commands
    async def handle_command(self, request):
        worker = self.by_port[request.transport.get_extra_info("sockname")[1]]
        body = await request.json()
        ordered_at = time.monotonic()
        if "baton" not in body or "stint" not in body:
            return web.json_response({}, status=400)
        if self.cut_zone is not None and worker.zone == self.cut_zone[0]:
            await asyncio.sleep(10)  # who sends it isn't known here: nobody's commands reach the zone, reports do
        if self.random.random() < self.late_commands:
            await asyncio.sleep(self.random.uniform(2, 10))
            if not worker.gone and not worker.hangs():
                worker.commanded(body, ordered_at)
            await asyncio.sleep(10)
        while worker.hangs():
            await asyncio.sleep(0.05)
        if worker.gone or time.monotonic() < worker.deaf_until:
            await asyncio.sleep(10)
        status, report = worker.commanded(body, ordered_at)
        return web.json_response(report, status=status)

    async def handle_show(self, request):
        return web.json_response(self.by_port[request.transport.get_extra_info("sockname")[1]].report())

    # ---- reports
    async def boot(self, worker):
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        worker.port = await self.listen(self.runner)
        self.by_port[worker.port] = worker
        worker.lease_ends = time.monotonic() + self.lease_s
        while not worker.gone:
            if worker.hangs():
                await asyncio.sleep(worker.hangs_until - time.monotonic() + 0.01)
                continue
            worker.check_lease()
            pause = await self.report(worker)
            await asyncio.sleep(pause)

    def next_node(self, worker):
        at = self.node_names.index(worker.node)
        worker.node = self.node_names[(at + 1) % len(self.node_names)]

    async def report(self, worker):
        """Returns how long to wait before the next."""
        node, sent, session, body = worker.node, time.monotonic(), worker.session, worker.report()
        if self.random.random() < self.late_reports:
            asyncio.create_task(self.send_copy(body, self.random.uniform(1, 3 * self.lease_s)))
        try:
            if time.monotonic() < worker.mute_until or not self.reachable(worker, node):
                raise asyncio.TimeoutError
            if self.random.random() < self.slow_reports:
                await asyncio.sleep(self.random.uniform(0.1, 1.0))
            status, answer = await self.post(node, body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            self.next_node(worker)
            return 0.3
        if worker.gone or worker.hangs() or time.monotonic() < worker.deaf_until or not self.reachable(worker, node):
            return 0.3
        if time.monotonic() - sent > ANSWER_TIMEOUT_S:
            return 0.3
        worker.check_lease()
        if status == 421 and answer.get("foreman") in self.node_ports and answer["foreman"] != node:
            worker.node = answer["foreman"]
            return 0.1
        if status != 200:
            self.next_node(worker)
            return 0.3
        if session == worker.session and answer.get("baton", -1) >= worker.token:
            worker.token = answer["baton"]
            worker.lease_ends = max(worker.lease_ends, sent + self.lease_s)
            for order in answer["orders"]:
                worker.obey(order, time.monotonic())
        return self.report_s * self.random.uniform(0.75, 1.25)

    async def post(self, node, body):
        async with self.session.post(f"http://127.0.0.1:{self.node_ports[node]}/hello", data=json.dumps(body)) as response:
            return response.status, await response.json(content_type=None)

    async def send_copy(self, body, delay):
        await asyncio.sleep(delay)
        try:
            await self.post(self.random.choice(self.node_names), body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            pass
