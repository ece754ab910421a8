"""A burst of jobs that the cloud has no machines for; then a job that it has machines for. With TROUBLE=0 there is no
burst."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import platform_standins as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["tallinn-ulemiste", "tartu-ringtee", "parnu-backup"]
KASK = {"sku": "kask-16", "vcpus": 16.0, "cards": 0.0, "ramGb": 32.0, "localGb": 50.0, "fetchGbPerS": 0.6, "price": 0.88,
        "lowPrice": 0.32, "startupS": 1.0, "sites": ZONES}
VAHER = {"sku": "vaher-gpu24", "vcpus": 24.0, "cards": 2.0, "ramGb": 192.0, "localGb": 120.0, "fetchGbPerS": 0.6,
         "price": 6.27, "lowPrice": 2.61, "startupS": 1.0, "sites": ZONES}
TEAMS = [p.team(n) for n in ("alpha", "beta", "gamma")]
CALM_S = 90.0


def free_cpus(worker):
    return worker.type["vcpus"] - sum(t.job["vcpus"] for t in worker.tasks.values() if t.state != "ended")


async def scenario(record):
    capacity = {("vaher-gpu24", ZONES[0], True): 1}
    for zone in ZONES:
        capacity[("kask-16", zone, True)] = 4
    platform = p.Platform(record, TEAMS, ZONES, [KASK, VAHER], capacity)
    try:
        await platform.start()
        await asyncio.sleep(2)
        user = p.User(platform)
        # Another team's service, rank low, keeps a machine with room up.
        service = p.job(1, owner="beta", shape="service", rank="low", vcpus=4.0, ramGb=6.0, guessS=0.0)
        if (await user.submit(service))[0] not in (200, 201):
            return 2
        gpu = [p.job(100 + i, rank="high", vcpus=8.0, cards=2.0, ramGb=64.0, guessS=100.0) for i in range(90)]
        accepted = await asyncio.gather(*[user.submit(j) for j in gpu[:30]])
        if any(s not in (200, 201) for s, _ in accepted):
            return 2
        submissions = []
        later = p.job(2, rank="normal", vcpus=2.0, ramGb=2.0, guessS=3.0, rigtypes=["kask-16"])
        if TROUBLE:
            for j in gpu[30:]:
                submissions.append(asyncio.create_task(user.submit(j)))
                await asyncio.sleep(0.25)
            if any(s not in (200, 201) for s, _ in await asyncio.gather(*submissions)):
                return 2
        calm_from = time.monotonic()
        if (await user.submit(later))[0] not in (200, 201):
            return 2
        room_since = {}
        while time.monotonic() - calm_from < CALM_S + 1:
            now = time.monotonic()
            for w in platform.cloud.machines.values():
                if w.alive() and w.type is KASK and free_cpus(w) >= later["vcpus"]:
                    room_since.setdefault(w.name, now)
                else:
                    room_since.pop(w.name, None)
            _, state = await user.poll(later["nameId"])
            if isinstance(state, dict) and state.get("status") == "done":
                break
            await asyncio.sleep(1.5)
        longest = max((time.monotonic() - t for t in room_since.values()), default=0)
        ran = any(x.startswith(later["nameId"] + "/") for x in platform.completed)
        record.write("counted", job_ran=ran, last_state=state, room_beside_for_s=round(longest, 1),
                     machines={w.name: [w.type["sku"], w.site, w.loaner, free_cpus(w)] for w in platform.cloud.machines.values() if w.alive()})
        return 1 if not ran and longest >= CALM_S else 0
    finally:
        platform.stop()
        platform.keep_logs()


sys.exit(p.run(FOLDER, scenario, 119))
