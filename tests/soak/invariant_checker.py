"""Judges the rules from outside: by what workers ran and what users were told."""
import time

VIOLATION_KINDS = ["ran_twice", "ran_after_done", "ran_again", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back",
         "nothing_ran", "started_cancelled"]
IN_FLIGHT_GRACE_S = 0.5  # an order that left before its job's user was told of the cancellation may reach its machine so much later
EVENT_ORDER_TOLERANCE_S = 0.2  # between two events that the judge sees one after the other


class Job:
    def __init__(self, spec):
        self.spec = spec
        self.accepted = False
        self.cancel_requested = False
        self.cancel_reported_at = None  # its user was told then
        self.done_reported_at = None
        self.last_answered_at = time.monotonic()


class InvariantChecker:
    def __init__(self, cancel_timeout_s, team_cpu_limits):
        self.cancel_timeout_s = cancel_timeout_s
        self.team_cpu_limits = team_cpu_limits  # team -> processors
        self.jobs = {}
        self.completed_tasks = set()  # tasks
        self.result_holders = {}  # done task -> the worker that holds its result; None: it was told to forget it
        self.started_attempts = {}  # task -> {worker: attempt}
        self.start_count = 0
        self.violations = []  # (rule, seconds, what)
        self.in_flight_starts = []  # of cancelled jobs, by orders that were held up on their way
        self.started_at = time.monotonic()

    def elapsed_s(self):
        return time.monotonic() - self.started_at

    def record_violation(self, rule, detail):
        self.violations.append((rule, self.elapsed_s(), detail))

    # ---- workers
    def on_task_started(self, worker, task, attempt, order_sent_at=None):
        """`ordered_at`: when the order reached the network, if that held it up."""
        self.start_count += 1
        now = time.monotonic()
        order_sent_at = now if order_sent_at is None else order_sent_at
        for other, other_attempt in self.live_attempts(task):
            self.record_violation("ran_twice", f"{task} try {attempt} on {worker.name}, try {other_attempt} on {other.name}")
        job = self.jobs.get(task.split("/")[0])
        if job is None:
            return
        if self.result_available(task):
            self.record_violation("ran_again", f"{task} on {worker.name}, it was done")
        if job.done_reported_at is not None:
            self.record_violation("ran_after_done", f"{task} on {worker.name}")
        if job.cancel_reported_at is not None:
            detail = f"{task} on {worker.name}, {now - job.cancel_reported_at:.2f} s after its user was told"
            if order_sent_at > job.cancel_reported_at + IN_FLIGHT_GRACE_S:
                self.record_violation("started_cancelled", detail)
            else:
                self.in_flight_starts.append(detail)
        self.check_placement(worker, task, job)
        self.started_attempts.setdefault(task, {})[worker] = attempt
        self.check_quota(job, task)

    def live_attempts(self, task):
        """Until it exits, its worker's lease ends or its machine is gone."""
        return [(w, a) for w, a in self.started_attempts.get(task, {}).items() if w.holds_lease()]

    def on_task_ended(self, worker, task, done=False):
        self.started_attempts.get(task, {}).pop(worker, None)
        if done:
            self.completed_tasks.add(task)
            self.result_holders[task] = worker

    def result_available(self, task):
        """It is done, and its result did not go with its worker's session: that is lost to everybody."""
        if task not in self.result_holders:
            return False
        worker = self.result_holders[task]
        return worker is None or worker.terminated or worker.holds_lease()

    def on_result_forgotten(self, task):
        if task in self.result_holders:
            self.result_holders[task] = None

    def on_results_lost(self, worker):
        """Its session has ended, or the machine is lost; not: it was given back."""
        for task in [t for t, holder in self.result_holders.items() if holder is worker]:
            del self.result_holders[task]

    def check_placement(self, worker, task, job):
        site = job.spec["site"]
        if (site is not None and site != worker.zone) or (worker.spot and not job.spec["loaner"]):
            self.record_violation("wrong_place", f"{task} on {worker.name} in {worker.zone}")

    def check_quota(self, job, task):
        team = job.spec["owner"]
        if team not in self.team_cpu_limits:
            return
        used_cpus = sum(self.jobs[t.split("/")[0]].spec["vcpus"] * len(self.live_attempts(t))
                   for t in list(self.started_attempts) if self.jobs.get(t.split("/")[0], job).spec["owner"] == team)
        if used_cpus > self.team_cpu_limits[team] + 0.001:
            self.record_violation("quota", f"{task}: team {team} has {used_cpus} of {self.team_cpu_limits[team]}")

    def check_cancelled_jobs_stopped(self):
        now = time.monotonic()
        for task in list(self.started_attempts):
            job = self.jobs.get(task.split("/")[0])
            if job is None or job.cancel_reported_at is None or now <= job.cancel_reported_at + self.cancel_timeout_s + EVENT_ORDER_TOLERANCE_S:
                continue
            for worker, _ in self.live_attempts(task):
                self.record_violation("ran_cancelled", f"{task} on {worker.name}")

    # ---- users
    def on_answer(self, job_id, status, body, requested_at):
        """What a user was told on a poll, cancellation or repeated submission, asked at that time."""
        job = self.jobs.get(job_id)
        if job is None:
            if status == 200:
                self.record_violation("invented", job_id)
            return
        if status in (400, 404, 422) and job.accepted:
            self.record_violation("forgotten", f"{job_id}: {status}")
        if status != 200:
            return
        job.last_answered_at = time.monotonic()
        reported = body["status"]
        if (job.done_reported_at is not None and job.done_reported_at < requested_at and reported != "done") or (
                job.cancel_reported_at is not None and job.cancel_reported_at < requested_at and reported != "withdrawn"):
            self.record_violation("went_back", f"{job_id}: {reported}")
        if reported == "withdrawn" and not job.cancel_requested:
            self.record_violation("went_back", f"{job_id}: nobody has cancelled it")
        if reported == "withdrawn" and job.cancel_reported_at is None:
            job.cancel_reported_at = time.monotonic()
        if reported == "done" and job.done_reported_at is None:
            missing = [n for n in range(job.spec["pieces"]) if f"{job_id}/{n}" not in self.completed_tasks]
            if missing:
                self.record_violation("not_done", f"{job_id}: {missing}")
            job.done_reported_at = time.monotonic()

    def check_accepted_jobs_answered(self, max_age_s):
        """Once all troubles are over: every accepted job was answered about lately."""
        for job_id, job in self.jobs.items():
            if job.accepted and time.monotonic() - job.last_answered_at > max_age_s:
                self.record_violation("forgotten", f"{job_id}: no answer for {max_age_s} s")

    def check_any_task_started(self):
        if self.start_count == 0:
            self.record_violation("nothing_ran", "")
