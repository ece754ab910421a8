"""A job loses its spot machine and waits beside room on a machine of another share."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from world import TYPES, asyncio, now, run_case  # noqa: E402

ZONE = "tallinn-ulemiste"
SERVICE, JOB = "j-000001", "j-000002"
WAIT_S = 90.0


def on(world, job):
    return [(w, t) for w in world.workers.values() for t in w.on_tasks() if t.job == job]


async def scenario(world, trouble):
    await world.open()
    world.spawn(world.balance())
    await asyncio.sleep(1.2)
    await world.submit(world.spec(1, shape="service", owner="landlord-portal", rank="production", vcpus=4.0,
                                  ramGb=6.2, loaner=False, guessS=0.0))
    if not await world.until(lambda: on(world, SERVICE), 12):
        raise RuntimeError("the service didn't run")
    await world.submit(world.spec(2, owner="data-intake", vcpus=2.0, ramGb=2.6), run=15.0)
    if not await world.until(lambda: on(world, JOB), 12):
        raise RuntimeError("the job didn't run")
    spot, _ = on(world, JOB)[0]
    stays, _ = on(world, SERVICE)[0]
    if spot is stays or not spot.spot:
        raise RuntimeError("the job doesn't run on a spot machine of its own")
    if trouble:
        world.log(f"the cloud takes {spot.name} back")
        spot.take_away()
    # The trouble counts as over once the lease of the lost machine is.
    over, waits_since = now() + world.params["workers"]["lease_s"], None
    while now() < over + WAIT_S + 3.0:
        await asyncio.sleep(1.0)
        if int(now() - over) % 4 == 0 and (await world.poll(JOB))[1] == "done":
            break
        used = sum(world.specs[t.job]["vcpus"] for t in stays.on_tasks())
        room = stays.kind["vcpus"] - used >= 2.0 and not stays.gone
        waits_since = (waits_since or max(now(), over)) if room and not on(world, JOB) else None
        if waits_since and now() - waits_since >= WAIT_S:
            world.judge.broken("waits_beside_room", f"{JOB} has waited for {WAIT_S} s, {stays.name} fits and has "
                                                    f"{stays.kind['vcpus'] - used} of {stays.kind['vcpus']} CPUs free")
            break
    return {"waits_beside_room"}


run_case(scenario, "record.txt", types=[{**TYPES[0], "startupS": 1}],
         capacity={("kask-16", ZONE, False): 1, ("kask-16", ZONE, True): 1}, restock=False)
