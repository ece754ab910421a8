"""Users who submit, ask and cancel at all nodes, and tell the judge what they were told."""
import asyncio
import json
import time

import aiohttp

GIVE_UP_S = 60


class Users:
    def __init__(self, random, judge, node_ports, submissions_a_second):
        self.random, self.judge = random, judge
        self.node_ports = node_ports
        self.pause = 1 / submissions_a_second
        self.count = 0
        self.falsify = None  # a planted fault: changes an answer on its way to the user
        self.busy = set()

    async def open(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5), connector=aiohttp.TCPConnector(limit=0))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.busy.add(task)
        task.add_done_callback(self.busy.discard)

    async def ask(self, method, path, body=None):
        node = self.random.choice(sorted(self.node_ports))
        url = f"http://127.0.0.1:{self.node_ports[node]}{path}"
        try:
            async with self.session.request(method, url, data=None if body is None else json.dumps(body)) as response:
                status, text = response.status, await response.text()
            told = json.loads(text) if text else {}
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return 0, {}
        return self.falsify(method, path, status, told) if self.falsify else (status, told)

    def draw_job(self):
        self.count += 1
        return {"nameId": f"j-{self.count:06d}", "jobclass": "batch", "owner": self.random.choice(["red", "tight", "blue"]),
                "shape": "array", "rank": self.random.choice(["low", "normal", "high"]), "pieces": self.random.randint(1, 6),
                "vcpus": float(self.random.choice([1, 2, 4])), "cards": 0.0, "ramGb": 1.0, "bundle": "", "sizeGb": 0.0,
                "rigtypes": None, "site": self.random.choice([None, None, "z1", "z2"]), "together": False, "spread": False,
                "loaner": self.random.random() < 0.7, "guessS": 2.0, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None}

    async def submit_for(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.spawn(self.follow(self.draw_job()))
            await asyncio.sleep(self.random.uniform(0, 2 * self.pause))

    async def until_answered(self, method, path, body=None):
        """As a user does: again after a second or more, for a minute."""
        until = time.monotonic() + GIVE_UP_S
        while time.monotonic() < until:
            asked_at = time.monotonic()
            status, told = await self.ask(method, path, body)
            if status in (200, 201, 400, 404, 422):
                return status, told, asked_at
            await asyncio.sleep(self.random.uniform(1, 2))
        return 0, {}, 0

    async def follow(self, spec):
        """A job from its submission to its end."""
        from judge import Job
        job_id = spec["nameId"]
        job = self.judge.jobs[job_id] = Job(spec)
        status, _, _ = await self.until_answered("POST", "/v1/jobs", spec)
        if status not in (200, 201):
            return
        job.accepted = True
        job.last_answer = time.monotonic()
        cancels_at = time.monotonic() + self.random.uniform(0, 8) if self.random.random() < 0.3 else None
        while job.done_at is None and job.cancelled_at is None:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            if cancels_at is not None and time.monotonic() >= cancels_at:
                job.asked_to_cancel = True
                status, told, asked_at = await self.until_answered("POST", f"/v1/jobs/{job_id}/withdraw")
                self.judge.answered(job_id, status, told, asked_at)
            else:
                await self.poll(job_id)
        for _ in range(3):  # what is over stays as it is, at every node
            await asyncio.sleep(self.random.uniform(0, 5))
            await self.poll(job_id)

    async def poll(self, job_id):
        asked_at = time.monotonic()
        status, told = await self.ask("GET", f"/v1/jobs/{job_id}")
        if status:
            self.judge.answered(job_id, status, told, asked_at)

    async def ask_about_unknown(self):
        while True:
            await asyncio.sleep(1)
            await self.poll(f"j-{self.random.randint(900_000, 999_999)}")
