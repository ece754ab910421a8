#!/usr/bin/python3
"""Runs aspenwick processes over loopback under a seeded schedule of faults, with simulated machines, users
and services. Checks the scheduler's invariants from outside, by what workers ran and what users were told.

Exit code 0: no violation; 1: a violation, or a process that exited unexpectedly; 2: invalid options; 3: the
soak itself failed. With --plant, 0: the injected violation was detected; 1: it was not.

  tests/soak/soak.py --binary target/aspenwick [--seeds 1-20] [--seconds 60] [--nodes 3] [--workers 120]
                     [--plant KIND]
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

from fault_injector import FaultInjector
from invariant_checker import VIOLATION_KINDS, InvariantChecker
from nodes import Cluster
from violation_injector import ViolationInjector
from state_service import StateService
from users import Users
from simulated_fleet import SimulatedFleet

WORKER_SETTINGS = {"report_s": 0.6, "lease_s": 4.0, "gang_wait_s": 20.0, "gang_peer_s": 4.0, "cancel_s": 20.0}
TEAM_CPU_LIMITS = {"tight": 16.0}  # processors; the other teams are not limited
SETTLE_S = 15  # time for the cluster to recover after the last fault
MAX_FREEZE_S = 70  # longest time for which a node is stopped
# After SETTLE_S, jobs without a recent answer are polled for half of this time; an accepted job counts as
# forgotten if its last answer is older than SETTLE_S + FINAL_POLL_S.
FINAL_POLL_S = 10


def cluster_params(node_names):
    """The `params` section of the nodes' settings."""
    teams = [{"name": team, "cpus": 0, "cpus_max": TEAM_CPU_LIMITS.get(team, 0), "gpus": 0, "gpus_max": 0}
             for team in ("blue", "red", "tight")]
    return {"nodes": len(node_names), "zones": ["z1", "z2", "z3"], "teams": teams, "objectives": [],
            "workers": WORKER_SETTINGS,
            "state": {"rps": 400, "write_rps": 150, "value_kb": 16, "txn_ops": 20},
            "cloud": {"rps": 10, "list_lag_s": 0.5},
            "limits": {"cpu": 1.0, "ram_mb": 200, "sockets": 2000}, "clock_error_ms": 50}


def exit_on_failure(task):
    """Ends the process with code 3 if a background task failed, instead of silently running without it."""
    if not task.cancelled() and task.exception() is not None:
        task.get_loop().call_exception_handler(
            {"message": "background task of the soak failed", "exception": task.exception()})
        os._exit(3)


async def run_seed(seed, options, log_dir):
    """Runs a cluster with the faults of one seed. Returns the checker, the fault injector and the number of
    unexpected exits. All parts draw from one generator: the order of draws is part of what a seed means."""
    rng = random.Random(seed)
    node_names = [chr(ord("a") + i) for i in range(options.nodes)]
    checker = InvariantChecker(WORKER_SETTINGS["cancel_s"], TEAM_CPU_LIMITS)
    state_service = StateService(rng, max_page_rows=25, max_kept_changes=80)
    cluster = Cluster(node_names, options.binary, log_dir)
    node_ports = {name: node.http_port for name, node in cluster.nodes.items()}
    fleet = SimulatedFleet(rng, checker, node_ports, WORKER_SETTINGS, options.workers)
    if options.plant == "nothing_ran":
        fleet.max_machines = 0
    users = Users(rng, checker, node_ports, submissions_per_s=options.workers / 20)
    await users.open()
    await cluster.configure(cluster_params(node_names), await state_service.serve(node_names),
                            await fleet.serve())
    fault_injector = FaultInjector(rng, checker, cluster, state_service, fleet,
                                   min(MAX_FREEZE_S, options.seconds))
    try:
        for node in cluster.nodes.values():
            node.start()
        background_tasks = [asyncio.create_task(users.submit_for(options.seconds + 5)),
                            asyncio.create_task(users.poll_unknown_jobs())]
        if options.plant:
            background_tasks.append(
                asyncio.create_task(ViolationInjector(checker, fleet, users).inject(options.plant)))
        for task in background_tasks:
            task.add_done_callback(exit_on_failure)
        await asyncio.sleep(5)
        await fault_injector.run(options.seconds)
        fault_injector.record("no more faults")
        await asyncio.sleep(SETTLE_S)
        for job_id, job in list(checker.jobs.items()):
            if job.accepted and time.monotonic() - job.last_answered_at > 3:
                users.spawn(users.poll(job_id))
        await asyncio.sleep(FINAL_POLL_S / 2)
        if not options.plant:
            checker.check_accepted_jobs_answered(SETTLE_S + FINAL_POLL_S)
        checker.check_any_task_started()
        for node in cluster.nodes.values():
            node.count_unexpected_exit()
    finally:
        cluster.stop()
        remaining_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining_tasks:
            task.cancel()
        await asyncio.gather(*remaining_tasks, return_exceptions=True)
        await users.session.close()
        await fleet.close()
    unexpected_exits = sum(node.unexpected_exits for node in cluster.nodes.values())
    return checker, fault_injector, unexpected_exits


def logged_violations(log_dir):
    """Log lines in which a node reports a violation of its own invariants."""
    lines = []
    for name in sorted(os.listdir(log_dir)):
        if name.endswith(".log"):
            with open(os.path.join(log_dir, name), errors="replace") as f:
                lines += [f"{name}: {line.strip()}" for line in f if "invariant violated" in line]
    return lines


def print_result(seed, checker, fault_injector, unexpected_exits, log_dir):
    """Prints a seed's result, on failure with violations and fault schedule. Returns whether it passed."""
    done = sum(j.done_reported_at is not None for j in checker.jobs.values())
    cancelled = sum(j.cancel_reported_at is not None for j in checker.jobs.values())
    logged_lines = logged_violations(log_dir)
    passed = not checker.violations and unexpected_exits == 0 and not logged_lines
    print(f"seed {seed}: {'ok' if passed else 'FAILED'}, {checker.start_count} starts, {len(checker.jobs)} jobs, {done} done, "
          f"{cancelled} cancelled, {len(fault_injector.schedule)} faults, {unexpected_exits} unexpected exits",
          flush=True)
    if checker.in_flight_starts:
        print(f"  {len(checker.in_flight_starts)} starts for cancelled jobs by orders in flight, the latest: "
              f"{checker.in_flight_starts[-1]}")
    if passed:
        return True
    for kind, at, detail in checker.violations[:20]:
        print(f"  {at:.2f} s {kind}: {detail}")
    for line in logged_lines[:20]:
        print(f"  {line}")
    print("  fault schedule:")
    for at, detail in fault_injector.schedule:
        print(f"    {at} s {detail}")
    print(f"  logs in {log_dir}", flush=True)
    return False


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--seeds", default="1-1", help="range of seeds, FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=60, help="duration of the fault schedule, per seed")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, default=120, help="most machines that the cloud rents out")
    parser.add_argument("--plant", choices=VIOLATION_KINDS,
                        help="inject a violation of this kind; the run passes if it is detected")
    options = parser.parse_args()
    try:
        first, last = (int(n) for n in options.seeds.split("-"))
    except ValueError:
        parser.error(f"--seeds: expected FIRST-LAST, got {options.seeds!r}")
    if first > last:
        parser.error(f"--seeds: empty range {options.seeds}")
    if not os.access(options.binary, os.X_OK):
        parser.error(f"--binary: {options.binary} is not an executable file")
    if not 1 <= options.seconds <= 3600:
        parser.error("--seconds: must be from 1 to 3600")
    if not 3 <= options.nodes <= 5:
        parser.error("--nodes: must be from 3 to 5")
    if not 10 <= options.workers <= 500:
        parser.error("--workers: must be from 10 to 500")
    options.binary = os.path.abspath(options.binary)
    options.seeds = range(first, last + 1)
    return options


def main():
    options = parse_options()
    passed = True
    for seed in options.seeds:
        log_dir = tempfile.mkdtemp(prefix="aspenwick-soak-")
        checker, fault_injector, unexpected_exits = asyncio.run(run_seed(seed, options, log_dir))
        if options.plant:
            detected = any(kind == options.plant for kind, _, _ in checker.violations)
            print(f"injected {options.plant}: {'detected' if detected else 'NOT DETECTED'}", flush=True)
            passed = passed and detected
        else:
            passed = print_result(seed, checker, fault_injector, unexpected_exits, log_dir) and passed
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
