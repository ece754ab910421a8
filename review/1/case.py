"""One user submits an array whose tasks take memory and no CPU. With TROUBLE=0 they take one CPU."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import platform_standins as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["tallinn-ulemiste", "tartu-ringtee", "parnu-backup"]
KASK = {"sku": "kask-16", "vcpus": 16.0, "cards": 0.0, "ramGb": 32.0, "localGb": 50.0, "fetchGbPerS": 0.6, "price": 0.88,
        "lowPrice": 0.32, "startupS": 4.0, "sites": ZONES}
TEAMS = [p.team(n, cpus=32.0) for n in ("alpha", "beta", "gamma")]


async def scenario(record):
    capacity = {("kask-16", z, spot): 4 for z in ZONES for spot in (True, False)}
    platform = p.Platform(record, TEAMS, ZONES, [KASK], capacity)
    try:
        await platform.start()
        await asyncio.sleep(4)
        user = p.User(platform)
        # Another job of the same team, sound in both runs.
        first = p.job(1, pieces=4, guessS=5.0)
        second = p.job(2, pieces=4, vcpus=0.0 if TROUBLE else 1.0, ramGb=2.0, guessS=5.0)
        for j in (second, first):
            status, _ = await user.submit(j)
            if status not in (200, 201, 400, 422):
                return 2
        await asyncio.gather(user.wait_for(first["nameId"], ("done",), 45, 2),
                             user.wait_for(second["nameId"], ("done",), 45, 2))
        ended = {n.name: n.ended_by_itself for n in platform.nodes.values()}
        tasks_done = [x for x in platform.completed if x.startswith(first["nameId"])]
        record.write("counted", controllers_ended_by_themselves=ended, tasks_of_the_sound_job_done=len(tasks_done))
        return 1 if sum(ended.values()) > 0 else 0
    finally:
        platform.stop()
        platform.keep_logs()


sys.exit(p.run(FOLDER, scenario))
