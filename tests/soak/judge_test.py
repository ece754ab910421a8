#!/usr/bin/python3
"""The judge sees each rule broken, and none where none is. Run with the standard library's unittest."""
import time
import unittest

from judge import RULES, Job, Judge

CANCEL_S = 20.0


class StandInWorker:
    def __init__(self, name, zone="z1", spot=False):
        self.name, self.zone, self.spot = name, zone, spot
        self.lease = True
        self.gone = False

    def holds_lease(self):
        return self.lease


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.judge = Judge(CANCEL_S, {"tight": 4.0})
        self.first, self.second = StandInWorker("i-1"), StandInWorker("i-2", zone="z2", spot=True)
        self.job = self.add("j-1", "red")

    def add(self, job_id, team):
        job = Job({"owner": team, "pieces": 2, "vcpus": 2.0, "site": None, "loaner": True})
        job.accepted = True
        self.judge.jobs[job_id] = job
        return job

    def broken(self):
        return [rule for rule, _, _ in self.judge.broken]

    def test_a_job_that_runs_once_breaks_nothing(self):
        for n in range(2):
            self.judge.started(self.first, f"j-1/{n}", 1)
            self.judge.ended(self.first, f"j-1/{n}", done=True)
        self.judge.answered("j-1", 200, {"status": "done"}, time.monotonic())
        self.judge.check_forgotten(1)
        self.judge.check_cancelled()
        self.judge.check_anything_ran()
        self.assertEqual(self.broken(), [])

    def test_ran_twice(self):
        self.judge.started(self.first, "j-1/0", 1)
        self.judge.started(self.second, "j-1/0", 2)
        self.assertEqual(self.broken(), ["ran_twice"])

    def test_a_start_after_the_other_workers_lease_is_no_second_run(self):
        self.judge.started(self.first, "j-1/0", 1)
        self.first.lease = False
        self.judge.started(self.second, "j-1/0", 2)
        self.assertEqual(self.broken(), [])

    def complete(self, worker):
        self.judge.started(worker, "j-1/0", 1)
        self.judge.ended(worker, "j-1/0", done=True)

    def test_ran_again(self):
        self.complete(self.first)
        self.judge.started(self.second, "j-1/0", 2)
        self.assertEqual(self.broken(), ["ran_again"])

    def test_ran_again_on_a_machine_that_was_given_back(self):
        self.complete(self.first)
        self.first.gone, self.first.lease = True, False
        self.judge.started(self.second, "j-1/0", 2)
        self.assertEqual(self.broken(), ["ran_again"])

    def test_ran_again_after_its_worker_forgot_it(self):
        self.complete(self.first)
        self.judge.result_forgotten("j-1/0")
        self.judge.results_lost(self.first)
        self.judge.started(self.second, "j-1/0", 2)
        self.assertEqual(self.broken(), ["ran_again"])

    def test_a_result_that_went_with_its_workers_session_is_made_again(self):
        self.complete(self.first)
        self.judge.results_lost(self.first)
        self.complete(self.second)
        self.second.lease = False  # and not looked at yet
        self.judge.started(self.first, "j-1/0", 3)
        self.assertEqual(self.broken(), [])

    def test_ran_after_done(self):
        self.job.done_at = time.monotonic()
        self.judge.started(self.first, "j-1/0", 2)
        self.assertEqual(self.broken(), ["ran_after_done"])

    def test_quota(self):
        self.add("j-2", "tight")
        for n in range(3):
            self.judge.started(self.first, f"j-2/{n}", 1)
        self.assertEqual(self.broken(), ["quota"])

    def test_wrong_place(self):
        self.job.spec["site"] = "z1"
        self.judge.started(self.second, "j-1/0", 1)
        self.assertEqual(self.broken(), ["wrong_place"])

    def test_wrong_kind_of_machine(self):
        self.job.spec["loaner"] = False
        self.judge.started(self.second, "j-1/0", 1)
        self.assertEqual(self.broken(), ["wrong_place"])

    def test_ran_cancelled(self):
        self.judge.started(self.first, "j-1/0", 1)
        self.job.cancelled_at = time.monotonic() - CANCEL_S - 1
        self.judge.check_cancelled()
        self.assertEqual(self.broken(), ["ran_cancelled"])

    def test_started_cancelled(self):
        self.job.cancelled_at = time.monotonic() - 1
        self.judge.started(self.first, "j-1/0", 1)
        self.assertEqual(self.broken(), ["started_cancelled"])

    def test_an_order_that_was_under_way_when_the_user_was_told_is_counted(self):
        self.job.cancelled_at = time.monotonic() - 10
        self.judge.started(self.first, "j-1/0", 1, ordered_at=self.job.cancelled_at + 0.1)
        self.assertEqual(self.broken(), [])
        self.assertEqual(len(self.judge.started_under_way), 1)

    def test_forgotten(self):
        for status in (400, 404, 422):
            self.judge.answered("j-1", status, {}, time.monotonic())
        self.assertEqual(self.broken(), ["forgotten"] * 3)

    def test_forgotten_without_an_answer(self):
        self.job.last_answer = time.monotonic() - 60
        self.judge.check_forgotten(30)
        self.assertEqual(self.broken(), ["forgotten"])

    def test_invented(self):
        self.judge.answered("j-9", 200, {"status": "queued"}, time.monotonic())
        self.assertEqual(self.broken(), ["invented"])

    def test_not_done(self):
        self.judge.answered("j-1", 200, {"status": "done"}, time.monotonic())
        self.assertEqual(self.broken(), ["not_done"])

    def test_went_back(self):
        self.job.done_at = time.monotonic() - 1
        self.judge.answered("j-1", 200, {"status": "running"}, time.monotonic())
        self.assertEqual(self.broken(), ["went_back"])

    def test_cancelled_though_nobody_asked(self):
        self.judge.answered("j-1", 200, {"status": "withdrawn"}, time.monotonic())
        self.assertEqual(self.broken(), ["went_back"])

    def test_an_answer_that_was_asked_for_before_the_end_may_be_older(self):
        asked_at = time.monotonic()
        self.job.done_at = asked_at + 0.001
        self.judge.answered("j-1", 200, {"status": "running"}, asked_at)
        self.assertEqual(self.broken(), [])

    def test_nothing_ran(self):
        self.judge.check_anything_ran()
        self.assertEqual(self.broken(), ["nothing_ran"])

    def test_each_rule_has_a_test(self):
        tests = [name for name in dir(self) if name.startswith("test_")]
        for rule in RULES:
            self.assertTrue(any(rule in name for name in tests), rule)


if __name__ == "__main__":
    unittest.main()
