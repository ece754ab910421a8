"""Checks the scheduler's invariants from outside: by what workers ran and what users were answered."""
import time

# ran_twice:         a task started while another attempt of it was alive
# ran_after_done:    a task started after its job was reported done
# ran_again:         a task started although the result of an earlier attempt was available
# quota:             a team used more processors than its limit
# wrong_place:       a task started outside the zone that its job asks for, or on spot against its spec
# ran_cancelled:     an attempt was alive longer than the cancel timeout after the cancellation was reported
# forgotten:         an accepted job got a client error, or no answer for too long
# invented:          a job that was never submitted got a status
# not_done:          a job was reported done before all its tasks had ended as done
# went_back:         a job left its final status, or was reported cancelled without a request
# nothing_ran:       no task started in the whole run
# started_cancelled: a task was ordered and started after its job's cancellation was reported
VIOLATION_KINDS = ["ran_twice", "ran_after_done", "ran_again", "quota", "wrong_place", "ran_cancelled",
                   "forgotten", "invented", "not_done", "went_back", "nothing_ran", "started_cancelled"]
# An order sent before its job's user was told of the cancellation may reach its machine this much later.
IN_FLIGHT_GRACE_S = 0.5
# Allowed difference between the times at which the checker observes two related events, one after the other.
EVENT_SLACK_S = 0.2


class Job:
    """A submitted job and what its user has been told about it. Times: monotonic clock, seconds."""

    def __init__(self, spec):
        self.spec = spec
        self.accepted = False
        self.cancel_requested = False
        self.cancel_reported_at = None  # when its user was first told "withdrawn"
        self.done_reported_at = None  # when its user was first told "done"
        self.last_answered_at = time.monotonic()


class InvariantChecker:
    """Receives every event of workers and users, and records each violation of an invariant.

    A worker needs `name`, `zone`, `spot`, `terminated` and `holds_lease()`. Tasks are named JOB/INDEX."""

    def __init__(self, cancel_timeout_s, team_cpu_limits):
        self.cancel_timeout_s = cancel_timeout_s
        self.team_cpu_limits = team_cpu_limits  # team -> processors; teams without an entry are not limited
        self.jobs = {}  # id -> Job, entered by the users before they submit it
        self.completed_tasks = set()  # tasks of which an attempt ended as done
        self.result_holders = {}  # done task -> worker that holds its result; None after a forget order
        self.started_attempts = {}  # task -> {worker: attempt}, of attempts that have started and not ended
        self.start_count = 0
        self.violations = []  # (kind, seconds since the start, detail)
        self.in_flight_starts = []  # starts for cancelled jobs by orders that were in flight; not violations
        self.started_at = time.monotonic()

    def elapsed_s(self):
        return time.monotonic() - self.started_at

    def record_violation(self, kind, detail):
        self.violations.append((kind, self.elapsed_s(), detail))

    # ---- events from workers
    def on_task_started(self, worker, task, attempt, order_sent_at=None):
        """`order_sent_at`: when the order entered the simulated network, if that delayed it; default: now."""
        self.start_count += 1
        now = time.monotonic()
        order_sent_at = now if order_sent_at is None else order_sent_at
        for other, other_attempt in self.live_attempts(task):
            self.record_violation(
                "ran_twice",
                f"{task} attempt {attempt} on {worker.name}, attempt {other_attempt} on {other.name}")
        job = self.jobs.get(task.split("/")[0])
        if job is None:
            return
        if self.result_available(task):
            self.record_violation("ran_again", f"{task} on {worker.name}, the task already has a result")
        if job.done_reported_at is not None:
            self.record_violation("ran_after_done", f"{task} on {worker.name}")
        if job.cancel_reported_at is not None:
            detail = f"{task} on {worker.name}, {now - job.cancel_reported_at:.2f} s after it was cancelled"
            if order_sent_at > job.cancel_reported_at + IN_FLIGHT_GRACE_S:
                self.record_violation("started_cancelled", detail)
            else:
                self.in_flight_starts.append(detail)
        self.check_placement(worker, task, job)
        self.started_attempts.setdefault(task, {})[worker] = attempt
        self.check_quota(job, task)

    def live_attempts(self, task):
        """An attempt is alive until it ends, its worker's lease expires or its machine is terminated."""
        return [(w, a) for w, a in self.started_attempts.get(task, {}).items() if w.holds_lease()]

    def on_task_ended(self, worker, task, done=False):
        self.started_attempts.get(task, {}).pop(worker, None)
        if done:
            self.completed_tasks.add(task)
            self.result_holders[task] = worker

    def result_available(self, task):
        """Whether the task is done and its result was not lost with its worker's session.

        A result that its worker was ordered to forget counts as available, and so does one on a terminated
        machine unless `on_results_lost` removed it."""
        if task not in self.result_holders:
            return False
        worker = self.result_holders[task]
        return worker is None or worker.terminated or worker.holds_lease()

    def on_result_forgotten(self, task):
        if task in self.result_holders:
            self.result_holders[task] = None

    def on_results_lost(self, worker):
        """The worker's session ended or its machine failed. Not called for machines that were released."""
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
                        for t in list(self.started_attempts)
                        if self.jobs.get(t.split("/")[0], job).spec["owner"] == team)
        if used_cpus > self.team_cpu_limits[team] + 0.001:
            self.record_violation(
                "quota", f"{task}: team {team} uses {used_cpus} of {self.team_cpu_limits[team]} processors")

    def check_cancelled_jobs_stopped(self):
        """Called in short intervals: attempts of a cancelled job must end within the cancel timeout."""
        now = time.monotonic()
        for task in list(self.started_attempts):
            job = self.jobs.get(task.split("/")[0])
            if job is None or job.cancel_reported_at is None or now <= job.cancel_reported_at + self.cancel_timeout_s + EVENT_SLACK_S:
                continue
            for worker, _ in self.live_attempts(task):
                self.record_violation("ran_cancelled", f"{task} on {worker.name}")

    # ---- events from users
    def on_answer(self, job_id, status, body, requested_at):
        """A user received an answer to a poll or cancellation that was sent at `requested_at`.

        Answers to requests sent before a final status was reported may still show an older status."""
        job = self.jobs.get(job_id)
        if job is None:
            if status == 200:
                self.record_violation("invented", job_id)
            return
        if status in (400, 404, 422) and job.accepted:
            self.record_violation("forgotten", f"{job_id}: HTTP {status}")
        if status != 200:
            return
        job.last_answered_at = time.monotonic()
        reported = body["status"]
        if (job.done_reported_at is not None and job.done_reported_at < requested_at and reported != "done") or (
                job.cancel_reported_at is not None and job.cancel_reported_at < requested_at
                and reported != "withdrawn"):
            self.record_violation("went_back", f"{job_id}: {reported}")
        if reported == "withdrawn" and not job.cancel_requested:
            self.record_violation("went_back", f"{job_id}: withdrawn without a cancellation")
        if reported == "withdrawn" and job.cancel_reported_at is None:
            job.cancel_reported_at = time.monotonic()
        if reported == "done" and job.done_reported_at is None:
            missing = [n for n in range(job.spec["pieces"]) if f"{job_id}/{n}" not in self.completed_tasks]
            if missing:
                self.record_violation("not_done", f"{job_id}: tasks {missing} have not ended as done")
            job.done_reported_at = time.monotonic()

    def check_accepted_jobs_answered(self, max_age_s):
        """Called after all faults have ended: every accepted job needs an answer within `max_age_s`."""
        for job_id, job in self.jobs.items():
            if job.accepted and time.monotonic() - job.last_answered_at > max_age_s:
                self.record_violation("forgotten", f"{job_id}: no answer for more than {max_age_s} s")

    def check_any_task_started(self):
        if self.start_count == 0:
            self.record_violation("nothing_ran", "no task was started")
