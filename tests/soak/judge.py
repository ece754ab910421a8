"""Judges the rules from outside: by what workers ran and what users were told."""
import time

RULES = ["ran_twice", "ran_after_done", "ran_again", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back",
         "nothing_ran", "started_cancelled"]
UNDER_WAY_S = 0.5  # an order that left before its job's user was told of the cancellation may reach its machine so much later
TOLERANCE_S = 0.2  # between two events that the judge sees one after the other


class Job:
    def __init__(self, spec):
        self.spec = spec
        self.accepted = False
        self.asked_to_cancel = False
        self.cancelled_at = None  # its user was told then
        self.done_at = None
        self.last_answer = time.monotonic()


class Judge:
    def __init__(self, cancel_s, limits):
        self.cancel_s = cancel_s
        self.limits = limits  # team -> processors
        self.jobs = {}
        self.completed = set()  # tasks
        self.results = {}  # done task -> the worker that holds its result; None: it was told to forget it
        self.live = {}  # task -> {worker: attempt}
        self.starts = 0
        self.broken = []  # (rule, seconds, what)
        self.started_under_way = []  # of cancelled jobs, by orders that were held up on their way
        self.began = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.began

    def breaks(self, rule, what):
        self.broken.append((rule, self.seconds(), what))

    # ---- workers
    def started(self, worker, task, attempt, ordered_at=None):
        """`ordered_at`: when the order reached the network, if that held it up."""
        self.starts += 1
        now = time.monotonic()
        ordered_at = now if ordered_at is None else ordered_at
        for other, other_attempt in self.on_machines(task):
            self.breaks("ran_twice", f"{task} try {attempt} on {worker.name}, try {other_attempt} on {other.name}")
        job = self.jobs.get(task.split("/")[0])
        if job is None:
            return
        if self.result_was_kept(task):
            self.breaks("ran_again", f"{task} on {worker.name}, it was done")
        if job.done_at is not None:
            self.breaks("ran_after_done", f"{task} on {worker.name}")
        if job.cancelled_at is not None:
            what = f"{task} on {worker.name}, {now - job.cancelled_at:.2f} s after its user was told"
            if ordered_at > job.cancelled_at + UNDER_WAY_S:
                self.breaks("started_cancelled", what)
            else:
                self.started_under_way.append(what)
        self.check_place(worker, task, job)
        self.live.setdefault(task, {})[worker] = attempt
        self.check_quota(job, task)

    def on_machines(self, task):
        """Until it exits, its worker's lease ends or its machine is gone."""
        return [(w, a) for w, a in self.live.get(task, {}).items() if w.holds_lease()]

    def ended(self, worker, task, done=False):
        self.live.get(task, {}).pop(worker, None)
        if done:
            self.completed.add(task)
            self.results[task] = worker

    def result_was_kept(self, task):
        """It is done, and its result did not go with its worker's session: that is lost to everybody."""
        if task not in self.results:
            return False
        worker = self.results[task]
        return worker is None or worker.gone or worker.holds_lease()

    def result_forgotten(self, task):
        if task in self.results:
            self.results[task] = None

    def results_lost(self, worker):
        """Its session has ended, or the machine is lost; not: it was given back."""
        for task in [t for t, holder in self.results.items() if holder is worker]:
            del self.results[task]

    def check_place(self, worker, task, job):
        site = job.spec["site"]
        if (site is not None and site != worker.zone) or (worker.spot and not job.spec["loaner"]):
            self.breaks("wrong_place", f"{task} on {worker.name} in {worker.zone}")

    def check_quota(self, job, task):
        team = job.spec["owner"]
        if team not in self.limits:
            return
        used = sum(self.jobs[t.split("/")[0]].spec["vcpus"] * len(self.on_machines(t))
                   for t in list(self.live) if self.jobs.get(t.split("/")[0], job).spec["owner"] == team)
        if used > self.limits[team] + 0.001:
            self.breaks("quota", f"{task}: team {team} has {used} of {self.limits[team]}")

    def check_cancelled(self):
        now = time.monotonic()
        for task in list(self.live):
            job = self.jobs.get(task.split("/")[0])
            if job is None or job.cancelled_at is None or now <= job.cancelled_at + self.cancel_s + TOLERANCE_S:
                continue
            for worker, _ in self.on_machines(task):
                self.breaks("ran_cancelled", f"{task} on {worker.name}")

    # ---- users
    def answered(self, job_id, status, body, asked_at):
        """What a user was told on a poll, cancellation or repeated submission, asked at that time."""
        job = self.jobs.get(job_id)
        if job is None:
            if status == 200:
                self.breaks("invented", job_id)
            return
        if status in (400, 404, 422) and job.accepted:
            self.breaks("forgotten", f"{job_id}: {status}")
        if status != 200:
            return
        job.last_answer = time.monotonic()
        told = body["status"]
        if (job.done_at is not None and job.done_at < asked_at and told != "done") or (
                job.cancelled_at is not None and job.cancelled_at < asked_at and told != "withdrawn"):
            self.breaks("went_back", f"{job_id}: {told}")
        if told == "withdrawn" and not job.asked_to_cancel:
            self.breaks("went_back", f"{job_id}: nobody has cancelled it")
        if told == "withdrawn" and job.cancelled_at is None:
            job.cancelled_at = time.monotonic()
        if told == "done" and job.done_at is None:
            missing = [n for n in range(job.spec["pieces"]) if f"{job_id}/{n}" not in self.completed]
            if missing:
                self.breaks("not_done", f"{job_id}: {missing}")
            job.done_at = time.monotonic()

    def check_forgotten(self, within_s):
        """Once all troubles are over: every accepted job was answered about lately."""
        for job_id, job in self.jobs.items():
            if job.accepted and time.monotonic() - job.last_answer > within_s:
                self.breaks("forgotten", f"{job_id}: no answer for {within_s} s")

    def check_anything_ran(self):
        if self.starts == 0:
            self.breaks("nothing_ran", "")
