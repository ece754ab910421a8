"""A gang that has to be spread over zones loses a spot machine. With TROUBLE=0 no machine is taken back."""
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
TEAMS = [p.team(n) for n in ("alpha", "beta", "gamma")]
CALM_S = 90.0


def free_cpus(worker):
    return worker.type["vcpus"] - sum(t.job["vcpus"] for t in worker.tasks.values() if t.state != "ended")


async def scenario(record):
    # The cloud never refuses: four machines of each kind in each zone.
    capacity = {("kask-16", z, spot): 4 for z in ZONES for spot in (True, False)}
    platform = p.Platform(record, TEAMS, ZONES, [KASK], capacity)
    try:
        await platform.start()
        await asyncio.sleep(2)
        user = p.User(platform)
        # Two jobs that are bound to a zone each, so that machines are up in both.
        bound = [p.job(1 + i, site=ZONES[i], rank="high", vcpus=10.0, ramGb=4.0, guessS=1.0) for i in range(2)]
        for j in bound:
            if (await user.submit(j))[0] not in (200, 201):
                return 2
        for j in bound:
            if await user.wait_for(j["nameId"], ("done",), 15, 0.5) != "done":
                return 2
        gang = p.job(3, shape="group", spread=True, pieces=4, vcpus=2.0, ramGb=2.0, guessS=20.0)
        if (await user.submit(gang))[0] not in (200, 201):
            return 2
        if await user.wait_for(gang["nameId"], ("running",), 20, 0.5) != "running":
            record.write("the gang did not start")
            return 2
        if TROUBLE:
            victim = next(w for w in platform.cloud.machines.values()
                          if w.site == ZONES[1] and any(t.state == "running" for t in w.tasks.values()))
            platform.cloud.take_back(victim.name)
            # Until its lease has lapsed and the rest of the gang has noticed, nothing can start again.
            await asyncio.sleep(platform.workers_settings["lease_s"] + 2)
        calm_from = time.monotonic()
        later = p.job(4, rank="low", guessS=3.0)
        if (await user.submit(later))[0] not in (200, 201):
            return 2
        room_since = {}  # machine -> since when it has had room for the later job without a break
        while time.monotonic() - calm_from < CALM_S + 1:
            now = time.monotonic()
            for w in platform.cloud.machines.values():
                if w.alive() and free_cpus(w) >= 1:
                    room_since.setdefault(w.name, now)
                else:
                    room_since.pop(w.name, None)
            states = {j["nameId"]: (await user.poll(j["nameId"]))[1] for j in (gang, later)}
            if all(s["status"] == "done" for s in states.values() if isinstance(s, dict)):
                break
            await asyncio.sleep(1.5)
        started = {j["nameId"]: sum(1 for x in platform.completed if x.startswith(j["nameId"] + "/")) for j in (gang, later)}
        longest = max((time.monotonic() - t for t in room_since.values()), default=0)
        record.write("counted", tasks_done=started, last_states=states, room_beside_for_s=round(longest, 1),
                     machines={w.name: [w.site, w.loaner, free_cpus(w)] for w in platform.cloud.machines.values() if w.alive()})
        waited = started[later["nameId"]] == 0 and longest >= CALM_S
        return 1 if waited else 0
    finally:
        platform.stop()
        platform.keep_logs()


sys.exit(p.run(FOLDER, scenario, 119))
