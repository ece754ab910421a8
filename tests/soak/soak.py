#!/usr/bin/python3
"""Real aspenwick processes over loopback under a seeded schedule of faults, judged from outside by what workers ran and what
users were told. Exit code 0: no rule broken; 1: a rule broken, or a process ended by itself; 2: a bad option;
3: the soak itself failed.

  tests/soak/soak.py --binary target/aspenwick [--seeds 1-20] [--seconds 60] [--nodes 3] [--workers 120] [--plant RULE]
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

from faults import Faults
from judge import RULES, Judge
from nodes import Cluster
from plants import Plants
from state_service import StateService
from users import Users
from workers import World

WORKERS = {"report_s": 0.6, "lease_s": 4.0, "gang_wait_s": 20.0, "gang_peer_s": 4.0, "cancel_s": 20.0}
LIMITS = {"tight": 16.0}
CALM_S = 15  # after the last fault
LONGEST_PAUSE_S = 70
ANSWERED_WITHIN_S = 10  # of the end of the calm


def params(names):
    teams = [{"name": t, "cpus": 0, "cpus_max": LIMITS.get(t, 0), "gpus": 0, "gpus_max": 0} for t in ("blue", "red", "tight")]
    return {"nodes": len(names), "zones": ["z1", "z2", "z3"], "teams": teams, "objectives": [], "workers": WORKERS,
            "state": {"rps": 400, "write_rps": 150, "value_kb": 16, "txn_ops": 20}, "cloud": {"rps": 10, "list_lag_s": 0.5},
            "limits": {"cpu": 1.0, "ram_mb": 200, "sockets": 2000}, "clock_error_ms": 50}


def raise_failure(task):
    """A failure of the soak itself ends it, rather than leaving a fault out."""
    if not task.cancelled() and task.exception() is not None:
        task.get_loop().call_exception_handler({"message": "the soak failed", "exception": task.exception()})
        os._exit(3)


async def play(seed, options, folder):
    rng = random.Random(seed)
    names = [chr(ord("a") + i) for i in range(options.nodes)]
    judge = Judge(WORKERS["cancel_s"], LIMITS)
    state = StateService(rng, page_rows=25, kept_changes=80)
    cluster = Cluster(names, options.binary, folder)
    ports = {name: node.listen for name, node in cluster.nodes.items()}
    world = World(rng, judge, ports, WORKERS, options.workers)
    if options.plant == "nothing_ran":
        world.most_machines = 0
    users = Users(rng, judge, ports, submissions_a_second=options.workers / 20)
    await users.open()
    await cluster.prepare(params(names), await state.serve(names), await world.serve())
    faults = Faults(rng, judge, cluster, state, world, min(LONGEST_PAUSE_S, options.seconds))
    try:
        for node in cluster.nodes.values():
            node.start()
        background = [asyncio.create_task(users.submit_for(options.seconds + 5)), asyncio.create_task(users.ask_about_unknown())]
        if options.plant:
            background.append(asyncio.create_task(Plants(judge, world, users).plant(options.plant)))
        for task in background:
            task.add_done_callback(raise_failure)
        await asyncio.sleep(5)
        await faults.play(options.seconds)
        faults.note("calm")
        await asyncio.sleep(CALM_S)
        for job_id, job in list(judge.jobs.items()):
            if job.accepted and time.monotonic() - job.last_answer > 3:
                users.spawn(users.poll(job_id))
        await asyncio.sleep(ANSWERED_WITHIN_S / 2)
        if not options.plant:
            judge.check_forgotten(CALM_S + ANSWERED_WITHIN_S)
        judge.check_anything_ran()
        for node in cluster.nodes.values():
            node.note_ends()
    finally:
        cluster.end()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        await users.session.close()
        await world.close()
    ended = sum(node.ended_by_itself for node in cluster.nodes.values())
    return judge, faults, ended


def violations_logged(folder):
    lines = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".log"):
            with open(os.path.join(folder, name), errors="replace") as f:
                lines += [f"{name}: {line.strip()}" for line in f if "invariant violated" in line]
    return lines


def say(seed, judge, faults, ended, folder):
    """Prints what was found; true: nothing."""
    done = sum(j.done_at is not None for j in judge.jobs.values())
    cancelled = sum(j.cancelled_at is not None for j in judge.jobs.values())
    logged = violations_logged(folder)
    good = not judge.broken and ended == 0 and not logged
    print(f"seed {seed}: {'ok' if good else 'BROKEN'}, {judge.starts} starts, {len(judge.jobs)} jobs, {done} done, {cancelled} "
          f"cancelled, {len(faults.schedule)} faults, {ended} ended by themselves", flush=True)
    if judge.started_under_way:
        print(f"  {len(judge.started_under_way)} starts of cancelled jobs by orders that were under way, the latest "
              f"{judge.started_under_way[-1]}")
    if good:
        return True
    for rule, at, what in judge.broken[:20]:
        print(f"  {at:.2f} s {rule}: {what}")
    for line in logged[:20]:
        print(f"  {line}")
    print("  schedule:")
    for at, what in faults.schedule:
        print(f"    {at} s {what}")
    print(f"  logs in {folder}", flush=True)
    return False


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=60, help="of faults, per seed")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, default=120, help="machines that the cloud has")
    parser.add_argument("--plant", choices=RULES, help="a fault that breaks this rule: the judge has to see it")
    options = parser.parse_args()
    try:
        first, last = (int(n) for n in options.seeds.split("-"))
    except ValueError:
        parser.error(f"--seeds: not FIRST-LAST: {options.seeds}")
    if first > last:
        parser.error(f"--seeds: none: {options.seeds}")
    if not os.access(options.binary, os.X_OK):
        parser.error(f"--binary: can't be run: {options.binary}")
    if not 1 <= options.seconds <= 3600:
        parser.error("--seconds: 1 to 3600")
    if not 3 <= options.nodes <= 5:
        parser.error("--nodes: 3 to 5")
    if not 10 <= options.workers <= 500:
        parser.error("--workers: 10 to 500")
    options.binary = os.path.abspath(options.binary)
    options.seeds = range(first, last + 1)
    return options


def main():
    options = parse_options()
    good = True
    for seed in options.seeds:
        folder = tempfile.mkdtemp(prefix="aspenwick-soak-")
        judge, faults, ended = asyncio.run(play(seed, options, folder))
        if options.plant:
            seen = any(rule == options.plant for rule, _, _ in judge.broken)
            print(f"planted {options.plant}: {'seen' if seen else 'NOT SEEN'}", flush=True)
            good = good and seen
        else:
            good = say(seed, judge, faults, ended, folder) and good
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
