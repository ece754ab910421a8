"""Faults planted in the world outside the controllers, one for each rule: they show that the judge sees a broken rule."""
import asyncio
import time


class Plants:
    def __init__(self, judge, world, users):
        self.judge, self.world, self.users = judge, world, users
        self.told = set()

    async def plant(self, rule):
        planted = {"ran_twice": self.second_machine, "ran_after_done": self.done_task, "ran_again": self.done_task_of_an_open_job, "quota": self.over_the_limit,
                   "wrong_place": self.other_zone, "ran_cancelled": self.deaf_to_halts, "forgotten": self.false_answer,
                   "invented": self.false_answer, "not_done": self.false_answer, "went_back": self.false_answer,
                   "nothing_ran": self.no_machine_obeys, "started_cancelled": self.cancelled_task}
        await planted[rule](rule)

    async def some(self, find):
        while True:
            found = find()
            if found:
                return found
            await asyncio.sleep(0.02)

    def running(self):
        for task, on in self.judge.live.items():
            for worker in on:
                if worker.holds_lease() and task.split("/")[0] in self.judge.jobs:
                    return task, worker
        return None

    def another_worker(self, worker, fits=lambda w: True):
        return next((w for w in self.world.workers.values()
                     if w is not worker and w.port and w.holds_lease() and not w.hangs() and fits(w)), None)

    async def second_machine(self, _):
        def find():
            found = self.running()
            other = found and self.another_worker(found[1])
            return other and (found[0], other)
        task, other = await self.some(find)
        other.launch((task, 1))

    async def done_task(self, _):
        def find():
            done = [i for i, j in self.judge.jobs.items() if j.done_at]
            worker = self.another_worker(None)
            return done and worker and (done[0], worker)
        job_id, worker = await self.some(find)
        worker.launch((f"{job_id}/0", 1))

    async def done_task_of_an_open_job(self, _):
        def find():
            done = [t for t in self.judge.completed
                    if self.judge.result_was_kept(t) and self.judge.jobs[t.split("/")[0]].done_at is None]
            worker = self.another_worker(None)
            return done and worker and (done[0], worker)
        task, worker = await self.some(find)
        worker.launch((task, 1 << 60))

    async def over_the_limit(self, _):
        def find():
            job = next((i for i, j in self.judge.jobs.items() if j.spec["owner"] == "tight" and j.accepted), None)
            worker = self.another_worker(None)
            return job and worker and (job, worker)
        job_id, worker = await self.some(find)
        for n in range(100, 140):
            worker.launch((f"{job_id}/{n}", 1))

    async def other_zone(self, _):
        def find():
            job = next(((i, j) for i, j in self.judge.jobs.items() if j.spec["site"] and j.accepted), None)
            worker = job and self.another_worker(None, lambda w: w.zone != job[1].spec["site"])
            return worker and (job[0], worker)
        job_id, worker = await self.some(find)
        worker.launch((f"{job_id}/100", 1))

    async def cancelled_task(self, _):
        def find():
            told_before = time.monotonic() - 1
            job = next((i for i, j in self.judge.jobs.items() if j.cancelled_at and j.cancelled_at < told_before), None)
            worker = self.another_worker(None)
            return job and worker and (job, worker)
        job_id, worker = await self.some(find)
        worker.launch((f"{job_id}/100", 1))

    async def deaf_to_halts(self, _):
        def find():
            job = next((i for i, j in self.judge.jobs.items() if j.cancelled_at and j.accepted), None)
            worker = self.another_worker(None)
            return job and worker and (job, worker)
        job_id, worker = await self.some(find)
        self.judge.jobs[job_id].cancelled_at = time.monotonic() - self.judge.cancel_s - 1
        for attempt in range(1, 100):  # it is stopped in a moment, or its machine fails: it goes on all the same
            worker.launch((f"{job_id}/100", attempt))
            await asyncio.sleep(0.1)
            job_id, worker = await self.some(find)

    async def false_answer(self, rule):
        def falsify(method, path, status, told):
            job_id = path.split("/")[3] if path.count("/") >= 3 else ""
            job = self.judge.jobs.get(job_id)
            if method != "GET" or rule in self.told:
                return status, told
            lie = None
            if rule == "forgotten" and job and job.accepted:
                lie = 404, {}
            elif rule == "invented" and job is None:
                lie = 200, {"nameId": job_id, "status": "queued"}
            elif rule == "not_done" and job and status == 200 and told["status"] in ("queued", "running"):
                lie = 200, {**told, "status": "done"}
            elif rule == "went_back" and job and job.done_at:
                lie = 200, {**told, "status": "running"}
            if lie is None:
                return status, told
            self.told.add(rule)
            return lie
        self.users.falsify = falsify

    async def no_machine_obeys(self, _):
        for worker in self.world.workers.values():
            worker.launch = lambda key: None
        self.world.most_machines = 0
