"""A simulated cloud and the workers on its machines, which use leases, sessions and tokens as real ones."""
import asyncio
import json
import time

import aiohttp
from aiohttp import web

RESPONSE_TIMEOUT_S = 4  # of reports; a later response is ignored
MACHINE_TYPE = {"sku": "cpu8", "vcpus": 8, "cards": 0, "ramGb": 32, "localGb": 20, "fetchGbPerS": 1.0,
                "price": 0.8, "lowPrice": 0.3, "startupS": 1, "sites": ["z1", "z2", "z3"]}


class TaskRun:
    """An attempt of a task on a worker."""

    def __init__(self, run_time_s):
        self.remaining_s = run_time_s
        self.end_cause = None  # the cause to report; None while it runs


class Worker:
    """A machine's worker. Answered reports extend the lease of its session; when that expires, it drops all
    tasks and results and begins a new session. It ignores orders with an older token than it has seen."""

    def __init__(self, fleet, name, zone, spot):
        self.fleet = fleet
        self.name, self.zone, self.spot = name, zone, spot
        self.port = None
        self.session, self.report_seq, self.token = 1, 0, 0
        self.tasks = {}  # (task, attempt) -> TaskRun
        self.lease_expires_at = time.monotonic() + fleet.lease_s
        self.node = fleet.rng.choice(fleet.node_names)
        self.hung_until = self.inbound_blocked_until = self.outbound_blocked_until = 0
        self.terminated = False

    def holds_lease(self):
        return not self.terminated and time.monotonic() <= self.lease_expires_at

    def is_hung(self):
        return time.monotonic() < self.hung_until

    def build_report(self):
        self.report_seq += 1
        task_reports = []
        for (task, attempt), run in self.tasks.items():
            task_report = {"piece": task, "try": attempt, "status": "ended" if run.end_cause else "running"}
            if run.end_cause:
                task_report["cause"] = run.end_cause
            task_reports.append(task_report)
        return {"rig": self.name, "endpoint": f"127.0.0.1:{self.port}", "rigtype": MACHINE_TYPE["sku"],
                "site": self.zone, "loaner": self.spot, "stint": self.session, "tally": self.report_seq,
                "baton": self.token, "warningS": None, "pieces": task_reports}

    def end_session_if_lease_expired(self):
        if time.monotonic() <= self.lease_expires_at:
            return
        for task, _ in list(self.tasks):
            self.fleet.checker.on_task_ended(self, task)
        self.fleet.checker.on_results_lost(self)
        self.tasks.clear()
        self.session += 1
        self.lease_expires_at = time.monotonic() + self.fleet.lease_s

    def execute_order(self, order, order_sent_at):
        attempt_key = (order["piece"], order["try"])
        run = self.tasks.get(attempt_key)
        if order["verb"] == "launch" and run is None:
            self.launch(attempt_key, order_sent_at)
        elif order["verb"] == "halt" and run is not None and run.end_cause is None:
            run.end_cause = "stopped"
            self.fleet.checker.on_task_ended(self, attempt_key[0])
        elif order["verb"] == "forget" and run is not None and run.end_cause is not None:
            if run.end_cause == "done":
                self.fleet.checker.on_result_forgotten(attempt_key[0])
            del self.tasks[attempt_key]

    def launch(self, attempt_key, order_sent_at=None):
        """Starts an attempt, or ends it at once with in_use if another attempt of the task runs here."""
        task, attempt = attempt_key
        self.tasks[attempt_key] = TaskRun(self.fleet.draw_run_time_s())
        if any(other_key[0] == task and other_key != attempt_key and run.end_cause is None
               for other_key, run in self.tasks.items()):
            self.tasks[attempt_key].end_cause = "in_use"
            return
        self.fleet.checker.on_task_started(self, task, attempt, order_sent_at)

    def advance(self, seconds):
        """Lets the tasks run for that time; a hung worker does nothing and keeps its state."""
        if self.is_hung():
            return
        self.end_session_if_lease_expired()
        for (task, _), run in self.tasks.items():
            if run.end_cause is not None:
                continue
            run.remaining_s -= seconds
            if run.remaining_s <= 0:
                run.end_cause = "done"
                self.fleet.checker.on_task_ended(self, task, done=True)

    def handle_push(self, body, order_sent_at):
        """Handles an order push, on time or late. Returns the HTTP status and a report.

        A push with an older token or for another session is not executed; its status is 409."""
        self.end_session_if_lease_expired()
        accepted = body["baton"] >= self.token and body["stint"] == self.session
        if accepted:
            self.token = body["baton"]
            for order in body["orders"]:
                self.execute_order(order, order_sent_at)
        return (200 if accepted else 409), self.build_report()


class SimulatedFleet:
    """The cloud's API and all machines. `node_ports`: the port of each node for reports."""

    def __init__(self, rng, checker, node_ports, worker_settings, max_machines):
        self.rng, self.checker = rng, checker
        self.node_ports = node_ports
        self.node_names = sorted(node_ports)
        self.lease_s, self.report_s = worker_settings["lease_s"], worker_settings["report_s"]
        self.max_machines = max_machines
        self.workers = {}  # name -> Worker, of the rented machines
        self.rented_count = 0  # of all machines so far, for their names
        self.rental_responses = {}  # name of the request -> machines; a repeated request gets the same again
        self.zone_partition = None  # (zone, node) that reach each other and no other zone or node
        self.delayed_push_rate = self.replayed_report_rate = 0.0  # fractions of order pushes and of reports
        # Fraction of reports that take up to a second, so that responses to order pushes overtake them.
        self.slow_report_rate = 0.0

    def draw_run_time_s(self):
        outlasts_lease = self.rng.random() < 0.3
        return self.rng.uniform(10, 40) if outlasts_lease else self.rng.uniform(0.3, 4)

    async def close(self):
        await self.session.close()

    def reachable(self, worker, node):
        if self.zone_partition is None:
            return True
        zone, node_inside = self.zone_partition
        return (worker.zone == zone) == (node == node_inside)

    async def serve(self):
        """Starts the cloud's API and the machines' clock. Returns the port of the cloud's API."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0),
                                             timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S))
        self.worker_runner = await self.start_app({"/do": self.handle_push_request,
                                                   "/show": self.handle_report_request})
        cloud_runner = await self.start_app({"/flavors": self.handle_machine_types,
                                             "/rentals": self.handle_rentals,
                                             "/rentals/delete": self.handle_rental_delete})
        self.worker_by_port = {}
        asyncio.create_task(self.advance())
        return await self.listen(cloud_runner)

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
        step_s = 0.05
        last_advance_at = time.monotonic()
        while True:
            await asyncio.sleep(step_s)
            now = time.monotonic()
            for worker in list(self.workers.values()):
                worker.advance(now - last_advance_at)
            self.checker.check_cancelled_jobs_stopped()
            last_advance_at = now

    # ---- cloud
    async def handle_machine_types(self, _):
        return web.json_response({"rigtypes": [MACHINE_TYPE]})

    async def handle_rentals(self, request):
        if request.method == "GET":
            rows = [{"nameId": w.name, "endpoint": f"127.0.0.1:{w.port}", "rigtype": MACHINE_TYPE["sku"],
                     "site": w.zone, "loaner": w.spot, "status": "running", "ageS": 1.0}
                    for _, w in sorted(self.workers.items())]
            return web.json_response({"rigs": rows, "hasNext": False})
        rental_request = await request.json()
        if rental_request["hire"] in self.rental_responses:
            return web.json_response({"rigs": self.rental_responses[rental_request["hire"]]})
        count = min(rental_request["count"], self.max_machines - len(self.workers))
        if count <= 0:
            return web.json_response({"error": "no capacity"}, status=503)
        names = []
        for _ in range(count):
            self.rented_count += 1
            names.append(f"i-{self.rented_count:06d}")
            self.workers[names[-1]] = Worker(self, names[-1], rental_request["site"],
                                             rental_request["loaner"])
            asyncio.create_task(self.run_worker(self.workers[names[-1]]))
        self.rental_responses[rental_request["hire"]] = names
        return web.json_response({"rigs": names})

    async def handle_rental_delete(self, request):
        for name in (await request.json())["rigs"]:
            worker = self.workers.pop(name, None)
            if worker is None:
                continue
            worker.terminated = True
            for task, _ in worker.tasks:
                self.checker.on_task_ended(worker, task)
        return web.json_response({})

    # ---- order pushes
    async def handle_push_request(self, request):
        worker = self.worker_by_port[request.transport.get_extra_info("sockname")[1]]
        body = await request.json()
        order_sent_at = time.monotonic()
        if "baton" not in body or "stint" not in body:
            return web.json_response({}, status=400)
        if self.zone_partition is not None and worker.zone == self.zone_partition[0]:
            await asyncio.sleep(10)  # the sender isn't known here: pushes of all nodes are held, reports pass
        if self.rng.random() < self.delayed_push_rate:
            await asyncio.sleep(self.rng.uniform(2, 10))
            if not worker.terminated and not worker.is_hung():
                worker.handle_push(body, order_sent_at)
            await asyncio.sleep(10)
        while worker.is_hung():
            await asyncio.sleep(0.05)
        if worker.terminated or time.monotonic() < worker.inbound_blocked_until:
            await asyncio.sleep(10)
        status, report = worker.handle_push(body, order_sent_at)
        return web.json_response(report, status=status)

    async def handle_report_request(self, request):
        return web.json_response(
            self.worker_by_port[request.transport.get_extra_info("sockname")[1]].build_report())

    # ---- reports
    async def run_worker(self, worker):
        """Boots the machine, then reports until it is terminated."""
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        worker.port = await self.listen(self.worker_runner)
        self.worker_by_port[worker.port] = worker
        worker.lease_expires_at = time.monotonic() + self.lease_s
        while not worker.terminated:
            if worker.is_hung():
                await asyncio.sleep(worker.hung_until - time.monotonic() + 0.01)
                continue
            worker.end_session_if_lease_expired()
            delay_s = await self.send_report(worker)
            await asyncio.sleep(delay_s)

    def next_node(self, worker):
        index = self.node_names.index(worker.node)
        worker.node = self.node_names[(index + 1) % len(self.node_names)]

    async def send_report(self, worker):
        """Reports to the worker's node and executes the orders in the response.

        Returns the delay before the next report, in seconds. After an error the worker turns to the next node,
        after a redirect (421) to the node that it names."""
        node, sent_at, session, body = worker.node, time.monotonic(), worker.session, worker.build_report()
        if self.rng.random() < self.replayed_report_rate:
            asyncio.create_task(self.replay_report(body, self.rng.uniform(1, 3 * self.lease_s)))
        try:
            if time.monotonic() < worker.outbound_blocked_until or not self.reachable(worker, node):
                raise asyncio.TimeoutError
            if self.rng.random() < self.slow_report_rate:
                await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            status, answer = await self.post_report(node, body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            self.next_node(worker)
            return 0.3
        if worker.terminated or worker.is_hung() or time.monotonic() < worker.inbound_blocked_until or not self.reachable(
                worker, node):
            return 0.3
        if time.monotonic() - sent_at > RESPONSE_TIMEOUT_S:
            return 0.3
        worker.end_session_if_lease_expired()
        if status == 421 and answer.get("foreman") in self.node_ports and answer["foreman"] != node:
            worker.node = answer["foreman"]
            return 0.1
        if status != 200:
            self.next_node(worker)
            return 0.3
        if session == worker.session and answer.get("baton", -1) >= worker.token:
            worker.token = answer["baton"]
            worker.lease_expires_at = max(worker.lease_expires_at, sent_at + self.lease_s)
            for order in answer["orders"]:
                worker.execute_order(order, time.monotonic())
        return self.report_s * self.rng.uniform(0.75, 1.25)

    async def post_report(self, node, body):
        async with self.session.post(f"http://127.0.0.1:{self.node_ports[node]}/hello",
                                     data=json.dumps(body)) as response:
            return response.status, await response.json(content_type=None)

    async def replay_report(self, body, delay):
        """Sends a copy of a report later to a random node, as a network may that duplicates and delays."""
        await asyncio.sleep(delay)
        try:
            await self.post_report(self.rng.choice(self.node_names), body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            pass
