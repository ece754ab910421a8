"""Simulated users, who submit, poll and cancel jobs at all nodes and pass the answers to the checker."""
import asyncio
import json
import time

import aiohttp

RETRY_TIMEOUT_S = 60  # after which a user stops repeating a request


class Users:
    """Submits jobs at a mean rate of `submissions_per_s`; `node_ports` has the HTTP port by node name."""

    def __init__(self, rng, checker, node_ports, submissions_per_s):
        self.rng, self.checker = rng, checker
        self.node_ports = node_ports
        self.mean_interval_s = 1 / submissions_per_s
        self.job_count = 0
        self.response_filter = None  # an injected violation: changes an answer before the user sees it
        self.background_tasks = set()

    async def open(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5),
                                             connector=aiohttp.TCPConnector(limit=0))

    def spawn(self, coroutine):
        """Runs the coroutine in the background; the set keeps a reference, or the task could be collected."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def send_request(self, method, path, body=None):
        """Sends a request to a random node. Returns HTTP status and answer; status 0: no valid answer."""
        node = self.rng.choice(sorted(self.node_ports))
        url = f"http://127.0.0.1:{self.node_ports[node]}{path}"
        try:
            async with self.session.request(method, url,
                                            data=None if body is None else json.dumps(body)) as response:
                status, text = response.status, await response.text()
            answer = json.loads(text) if text else {}
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return 0, {}
        return self.response_filter(method, path, status, answer) if self.response_filter else (status, answer)

    def random_job(self):
        self.job_count += 1
        return {"nameId": f"j-{self.job_count:06d}", "jobclass": "batch",
                "owner": self.rng.choice(["red", "tight", "blue"]), "shape": "array",
                "rank": self.rng.choice(["low", "normal", "high"]), "pieces": self.rng.randint(1, 6),
                "vcpus": float(self.rng.choice([1, 2, 4])), "cards": 0.0, "ramGb": 1.0, "bundle": "",
                "sizeGb": 0.0, "rigtypes": None, "site": self.rng.choice([None, None, "z1", "z2"]),
                "together": False, "spread": False, "loaner": self.rng.random() < 0.7, "guessS": 2.0,
                "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None}

    async def submit_for(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.spawn(self.follow_job(self.random_job()))
            await asyncio.sleep(self.rng.uniform(0, 2 * self.mean_interval_s))

    async def request_until_answered(self, method, path, body=None):
        """Repeats a request every one to two seconds until it is accepted or rejected, for RETRY_TIMEOUT_S.

        Returns status, answer and the time at which the answered request was sent; status 0: not answered."""
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < deadline:
            requested_at = time.monotonic()
            status, answer = await self.send_request(method, path, body)
            if status in (200, 201, 400, 404, 422):
                return status, answer, requested_at
            await asyncio.sleep(self.rng.uniform(1, 2))
        return 0, {}, 0

    async def follow_job(self, spec):
        """Submits a job, polls it until it is done or cancelled, and cancels 30 % of the jobs."""
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
                status, answer, requested_at = await self.request_until_answered(
                    "POST", f"/v1/jobs/{job_id}/withdraw")
                self.checker.on_answer(job_id, status, answer, requested_at)
            else:
                await self.poll(job_id)
        for _ in range(3):  # a final status must stay the same at every node
            await asyncio.sleep(self.rng.uniform(0, 5))
            await self.poll(job_id)

    async def poll(self, job_id):
        requested_at = time.monotonic()
        status, answer = await self.send_request("GET", f"/v1/jobs/{job_id}")
        if status:
            self.checker.on_answer(job_id, status, answer, requested_at)

    async def poll_unknown_jobs(self):
        """Polls jobs that nobody has submitted, to detect invented ones."""
        while True:
            await asyncio.sleep(1)
            await self.poll(f"j-{self.rng.randint(900_000, 999_999)}")
