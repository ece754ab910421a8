"""Injects violations of each kind outside the nodes, to show that the checker detects them in a real run."""
import asyncio
import time


class ViolationInjector:
    """Makes workers misbehave or falsifies answers to users; the scheduler itself is not changed."""

    def __init__(self, checker, fleet, users):
        self.checker, self.fleet, self.users = checker, fleet, users
        self.falsified_kinds = set()

    async def inject(self, kind):
        injections = {"ran_twice": self.run_on_second_worker, "ran_after_done": self.run_task_of_done_job,
                      "ran_again": self.rerun_completed_task, "quota": self.exceed_team_limit,
                      "wrong_place": self.run_in_other_zone, "ran_cancelled": self.ignore_halts,
                      "forgotten": self.falsify_one_answer, "invented": self.falsify_one_answer,
                      "not_done": self.falsify_one_answer, "went_back": self.falsify_one_answer,
                      "nothing_ran": self.disable_all_workers,
                      "started_cancelled": self.run_task_of_cancelled_job}
        await injections[kind](kind)

    async def wait_for(self, find):
        """Calls `find` until it returns something true, and returns that."""
        while True:
            found = find()
            if found:
                return found
            await asyncio.sleep(0.02)

    def find_running_task(self):
        """A task with a live attempt and that attempt's worker, or None."""
        for task, attempts in self.checker.started_attempts.items():
            for worker in attempts:
                if worker.holds_lease() and task.split("/")[0] in self.checker.jobs:
                    return task, worker
        return None

    def find_other_worker(self, worker, predicate=lambda w: True):
        return next((w for w in self.fleet.workers.values()
                     if w is not worker and w.port and w.holds_lease() and not w.is_hung() and predicate(w)),
                    None)

    async def run_on_second_worker(self, _):
        def find():
            found = self.find_running_task()
            other_worker = found and self.find_other_worker(found[1])
            return other_worker and (found[0], other_worker)
        task, other_worker = await self.wait_for(find)
        other_worker.launch((task, 1))

    async def run_task_of_done_job(self, _):
        def find():
            completed = [i for i, j in self.checker.jobs.items() if j.done_reported_at]
            worker = self.find_other_worker(None)
            return completed and worker and (completed[0], worker)
        job_id, worker = await self.wait_for(find)
        worker.launch((f"{job_id}/0", 1))

    async def rerun_completed_task(self, _):
        """Runs a completed task again while its job is still open."""
        def find():
            completed = [t for t in self.checker.completed_tasks
                         if self.checker.result_available(t)
                         and self.checker.jobs[t.split("/")[0]].done_reported_at is None]
            worker = self.find_other_worker(None)
            return completed and worker and (completed[0], worker)
        task, worker = await self.wait_for(find)
        worker.launch((task, 1 << 60))

    async def exceed_team_limit(self, _):
        """Runs many tasks of the limited team at once."""
        def find():
            job = next((i for i, j in self.checker.jobs.items()
                        if j.spec["owner"] == "tight" and j.accepted), None)
            worker = self.find_other_worker(None)
            return job and worker and (job, worker)
        job_id, worker = await self.wait_for(find)
        for n in range(100, 140):
            worker.launch((f"{job_id}/{n}", 1))

    async def run_in_other_zone(self, _):
        def find():
            job = next(((i, j) for i, j in self.checker.jobs.items() if j.spec["site"] and j.accepted), None)
            worker = job and self.find_other_worker(None, lambda w: w.zone != job[1].spec["site"])
            return worker and (job[0], worker)
        job_id, worker = await self.wait_for(find)
        worker.launch((f"{job_id}/100", 1))

    async def run_task_of_cancelled_job(self, _):
        def find():
            reported_before = time.monotonic() - 1
            job = next((i for i, j in self.checker.jobs.items()
                        if j.cancel_reported_at and j.cancel_reported_at < reported_before), None)
            worker = self.find_other_worker(None)
            return job and worker and (job, worker)
        job_id, worker = await self.wait_for(find)
        worker.launch((f"{job_id}/100", 1))

    async def ignore_halts(self, _):
        """Keeps a task of a cancelled job running past the cancel timeout."""
        def find():
            job = next((i for i, j in self.checker.jobs.items() if j.cancel_reported_at and j.accepted), None)
            worker = self.find_other_worker(None)
            return job and worker and (job, worker)
        job_id, worker = await self.wait_for(find)
        self.checker.jobs[job_id].cancel_reported_at = time.monotonic() - self.checker.cancel_timeout_s - 1
        for attempt in range(1, 100):  # started again, as the attempt is soon halted or its machine fails
            worker.launch((f"{job_id}/100", attempt))
            await asyncio.sleep(0.1)
            job_id, worker = await self.wait_for(find)

    async def falsify_one_answer(self, kind):
        """Replaces the first answer to a poll that can show the violation."""
        def response_filter(method, path, status, answer):
            job_id = path.split("/")[3] if path.count("/") >= 3 else ""
            job = self.checker.jobs.get(job_id)
            if method != "GET" or kind in self.falsified_kinds:
                return status, answer
            false_answer = None
            if kind == "forgotten" and job and job.accepted:
                false_answer = 404, {}
            elif kind == "invented" and job is None:
                false_answer = 200, {"nameId": job_id, "status": "queued"}
            elif kind == "not_done" and job and status == 200 and answer["status"] in ("queued", "running"):
                false_answer = 200, {**answer, "status": "done"}
            elif kind == "went_back" and job and job.done_reported_at:
                false_answer = 200, {**answer, "status": "running"}
            if false_answer is None:
                return status, answer
            self.falsified_kinds.add(kind)
            return false_answer
        self.users.response_filter = response_filter

    async def disable_all_workers(self, _):
        """Workers ignore launches, and the cloud rents out no more."""
        for worker in self.fleet.workers.values():
            worker.launch = lambda key: None
        self.fleet.max_machines = 0
