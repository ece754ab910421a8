"""Users who submit, ask and cancel at all nodes, and tell the judge what they were told."""
import asyncio
import json
import time

import aiohttp

RETRY_TIMEOUT_S = 60


class Users:
    def __init__(self, rng, checker, node_ports, submissions_per_s):
        self.rng, self.checker = rng, checker
        self.node_ports = node_ports
        self.mean_interval_s = 1 / submissions_per_s
        self.job_count = 0
        self.response_filter = None  # a planted fault: changes an answer on its way to the user
        self.background_tasks = set()

    async def open(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5), connector=aiohttp.TCPConnector(limit=0))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def send_request(self, method, path, body=None):
        node = self.rng.choice(sorted(self.node_ports))
        url = f"http://127.0.0.1:{self.node_ports[node]}{path}"
        try:
            async with self.session.request(method, url, data=None if body is None else json.dumps(body)) as response:
                status, text = response.status, await response.text()
            answer = json.loads(text) if text else {}
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return 0, {}
        return self.response_filter(method, path, status, answer) if self.response_filter else (status, answer)

    def random_job(self):
        self.job_count += 1
        return {"nameId": f"j-{self.job_count:06d}", "jobclass": "batch", "owner": self.rng.choice(["red", "tight", "blue"]),
                "shape": "array", "rank": self.rng.choice(["low", "normal", "high"]), "pieces": self.rng.randint(1, 6),
                "vcpus": float(self.rng.choice([1, 2, 4])), "cards": 0.0, "ramGb": 1.0, "bundle": "", "sizeGb": 0.0,
                "rigtypes": None, "site": self.rng.choice([None, None, "z1", "z2"]), "together": False, "spread": False,
                "loaner": self.rng.random() < 0.7, "guessS": 2.0, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None}

    async def submit_for(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.spawn(self.follow_job(self.random_job()))
            await asyncio.sleep(self.rng.uniform(0, 2 * self.mean_interval_s))

    async def request_until_answered(self, method, path, body=None):
        """As a user does: again after a second or more, for a minute."""
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < deadline:
            requested_at = time.monotonic()
            status, answer = await self.send_request(method, path, body)
            if status in (200, 201, 400, 404, 422):
                return status, answer, requested_at
            await asyncio.sleep(self.rng.uniform(1, 2))
        return 0, {}, 0

    async def follow_job(self, spec):
        """A job from its submission to its end."""
        from invariant_checker import Job
        job_id = spec["nameId"]
        job = self.checker.jobs[job_id] = Job(spec)
        status, _, _ = await self.request_until_answered("POST", "/v1/jobs", spec)
        if status not in (200, 201):
            return
        job.accepted = True
        job.last_answered_at = time.monotonic()
        cancel_due_at = time.monotonic() + self.rng.uniform(0, 8) if self.rng.random() < 0.3 else None
        while job.done_reported_at is None and job.cancel_reported_at is None:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            if cancel_due_at is not None and time.monotonic() >= cancel_due_at:
                job.cancel_requested = True
                status, answer, requested_at = await self.request_until_answered("POST", f"/v1/jobs/{job_id}/withdraw")
                self.checker.on_answer(job_id, status, answer, requested_at)
            else:
                await self.poll(job_id)
        for _ in range(3):  # what is over stays as it is, at every node
            await asyncio.sleep(self.rng.uniform(0, 5))
            await self.poll(job_id)

    async def poll(self, job_id):
        requested_at = time.monotonic()
        status, answer = await self.send_request("GET", f"/v1/jobs/{job_id}")
        if status:
            self.checker.on_answer(job_id, status, answer, requested_at)

    async def poll_unknown_jobs(self):
        while True:
            await asyncio.sleep(1)
            await self.poll(f"j-{self.rng.randint(900_000, 999_999)}")
