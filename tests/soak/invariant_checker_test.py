#!/usr/bin/python3
"""Tests that the invariant checker detects each kind of violation and reports none for valid runs.

Run with the standard library's unittest."""
import time
import unittest

from invariant_checker import VIOLATION_KINDS, Job, InvariantChecker

CANCEL_S = 20.0


class FakeWorker:
    """The part of a worker that the checker uses."""

    def __init__(self, name, zone="z1", spot=False):
        self.name, self.zone, self.spot = name, zone, spot
        self.lease_valid = True
        self.terminated = False

    def holds_lease(self):
        return self.lease_valid


class InvariantCheckerTest(unittest.TestCase):
    def setUp(self):
        self.checker = InvariantChecker(CANCEL_S, {"tight": 4.0})
        self.first_worker, self.second_worker = FakeWorker("i-1"), FakeWorker("i-2", zone="z2", spot=True)
        self.job = self.add_job("j-1", "red")

    def add_job(self, job_id, team):
        """Adds an accepted job of two tasks with two processors each."""
        job = Job({"owner": team, "pieces": 2, "vcpus": 2.0, "site": None, "loaner": True})
        job.accepted = True
        self.checker.jobs[job_id] = job
        return job

    def violation_kinds(self):
        """The kinds that the checker has recorded, in order."""
        return [kind for kind, _, _ in self.checker.violations]

    def test_job_that_runs_once_has_no_violation(self):
        for n in range(2):
            self.checker.on_task_started(self.first_worker, f"j-1/{n}", 1)
            self.checker.on_task_ended(self.first_worker, f"j-1/{n}", done=True)
        self.checker.on_answer("j-1", 200, {"status": "done"}, time.monotonic())
        self.checker.check_accepted_jobs_answered(1)
        self.checker.check_cancelled_jobs_stopped()
        self.checker.check_any_task_started()
        self.assertEqual(self.violation_kinds(), [])

    def test_start_beside_a_live_attempt_is_ran_twice(self):
        self.checker.on_task_started(self.first_worker, "j-1/0", 1)
        self.checker.on_task_started(self.second_worker, "j-1/0", 2)
        self.assertEqual(self.violation_kinds(), ["ran_twice"])

    def test_start_after_the_other_workers_lease_expired_is_allowed(self):
        self.checker.on_task_started(self.first_worker, "j-1/0", 1)
        self.first_worker.lease_valid = False
        self.checker.on_task_started(self.second_worker, "j-1/0", 2)
        self.assertEqual(self.violation_kinds(), [])

    def run_to_completion(self, worker):
        """Runs task j-1/0 on the worker until it is done."""
        self.checker.on_task_started(worker, "j-1/0", 1)
        self.checker.on_task_ended(worker, "j-1/0", done=True)

    def test_start_of_a_task_whose_result_is_held_is_ran_again(self):
        self.run_to_completion(self.first_worker)
        self.checker.on_task_started(self.second_worker, "j-1/0", 2)
        self.assertEqual(self.violation_kinds(), ["ran_again"])

    def test_start_after_the_result_holder_was_released_is_ran_again(self):
        self.run_to_completion(self.first_worker)
        self.first_worker.terminated, self.first_worker.lease_valid = True, False
        self.checker.on_task_started(self.second_worker, "j-1/0", 2)
        self.assertEqual(self.violation_kinds(), ["ran_again"])

    def test_start_after_a_forget_order_is_ran_again(self):
        self.run_to_completion(self.first_worker)
        self.checker.on_result_forgotten("j-1/0")
        self.checker.on_results_lost(self.first_worker)
        self.checker.on_task_started(self.second_worker, "j-1/0", 2)
        self.assertEqual(self.violation_kinds(), ["ran_again"])

    def test_start_after_the_result_was_lost_with_its_session_is_allowed(self):
        self.run_to_completion(self.first_worker)
        self.checker.on_results_lost(self.first_worker)
        self.run_to_completion(self.second_worker)
        self.second_worker.lease_valid = False  # the worker has not ended its session yet
        self.checker.on_task_started(self.first_worker, "j-1/0", 3)
        self.assertEqual(self.violation_kinds(), [])

    def test_start_for_a_job_reported_done_is_ran_after_done(self):
        self.job.done_reported_at = time.monotonic()
        self.checker.on_task_started(self.first_worker, "j-1/0", 2)
        self.assertEqual(self.violation_kinds(), ["ran_after_done"])

    def test_start_above_the_team_limit_violates_quota(self):
        self.add_job("j-2", "tight")
        for n in range(3):
            self.checker.on_task_started(self.first_worker, f"j-2/{n}", 1)
        self.assertEqual(self.violation_kinds(), ["quota"])

    def test_start_in_another_zone_is_wrong_place(self):
        self.job.spec["site"] = "z1"
        self.checker.on_task_started(self.second_worker, "j-1/0", 1)
        self.assertEqual(self.violation_kinds(), ["wrong_place"])

    def test_start_on_a_spot_machine_against_the_spec_is_wrong_place(self):
        self.job.spec["loaner"] = False
        self.checker.on_task_started(self.second_worker, "j-1/0", 1)
        self.assertEqual(self.violation_kinds(), ["wrong_place"])

    def test_attempt_alive_after_the_cancel_timeout_is_ran_cancelled(self):
        self.checker.on_task_started(self.first_worker, "j-1/0", 1)
        self.job.cancel_reported_at = time.monotonic() - CANCEL_S - 1
        self.checker.check_cancelled_jobs_stopped()
        self.assertEqual(self.violation_kinds(), ["ran_cancelled"])

    def test_start_after_a_reported_cancellation_is_started_cancelled(self):
        self.job.cancel_reported_at = time.monotonic() - 1
        self.checker.on_task_started(self.first_worker, "j-1/0", 1)
        self.assertEqual(self.violation_kinds(), ["started_cancelled"])

    def test_start_by_an_order_in_flight_at_the_cancellation_is_only_counted(self):
        self.job.cancel_reported_at = time.monotonic() - 10
        self.checker.on_task_started(self.first_worker, "j-1/0", 1,
                                     order_sent_at=self.job.cancel_reported_at + 0.1)
        self.assertEqual(self.violation_kinds(), [])
        self.assertEqual(len(self.checker.in_flight_starts), 1)

    def test_client_error_for_an_accepted_job_is_forgotten(self):
        for status in (400, 404, 422):
            self.checker.on_answer("j-1", status, {}, time.monotonic())
        self.assertEqual(self.violation_kinds(), ["forgotten"] * 3)

    def test_accepted_job_without_recent_answer_is_forgotten(self):
        self.job.last_answered_at = time.monotonic() - 60
        self.checker.check_accepted_jobs_answered(30)
        self.assertEqual(self.violation_kinds(), ["forgotten"])

    def test_status_of_an_unknown_job_is_invented(self):
        self.checker.on_answer("j-9", 200, {"status": "queued"}, time.monotonic())
        self.assertEqual(self.violation_kinds(), ["invented"])

    def test_done_before_all_tasks_ended_is_not_done(self):
        self.checker.on_answer("j-1", 200, {"status": "done"}, time.monotonic())
        self.assertEqual(self.violation_kinds(), ["not_done"])

    def test_running_after_done_is_went_back(self):
        self.job.done_reported_at = time.monotonic() - 1
        self.checker.on_answer("j-1", 200, {"status": "running"}, time.monotonic())
        self.assertEqual(self.violation_kinds(), ["went_back"])

    def test_withdrawn_without_a_request_is_went_back(self):
        self.checker.on_answer("j-1", 200, {"status": "withdrawn"}, time.monotonic())
        self.assertEqual(self.violation_kinds(), ["went_back"])

    def test_older_status_is_allowed_if_requested_before_done(self):
        requested_at = time.monotonic()
        self.job.done_reported_at = requested_at + 0.001
        self.checker.on_answer("j-1", 200, {"status": "running"}, requested_at)
        self.assertEqual(self.violation_kinds(), [])

    def test_run_without_any_start_is_nothing_ran(self):
        self.checker.check_any_task_started()
        self.assertEqual(self.violation_kinds(), ["nothing_ran"])

    def test_each_violation_kind_has_a_test(self):
        tests = [name for name in dir(self) if name.startswith("test_")]
        for kind in VIOLATION_KINDS:
            self.assertTrue(any(kind in name for name in tests), kind)


if __name__ == "__main__":
    unittest.main()
