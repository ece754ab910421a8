"""A seeded schedule of faults. Each fault is injected, lasts and is taken back; several overlap."""
import asyncio
import time


class Faults:
    def __init__(self, random, judge, cluster, state, world, longest_pause):
        self.random, self.judge = random, judge
        self.cluster, self.state, self.world = cluster, state, world
        self.names = sorted(cluster.nodes)
        self.longest_pause = longest_pause  # seconds that a node stands still
        self.schedule = []  # (seconds, what)
        self.kinds = [self.kill, self.kill, self.kill_all, self.kill_twice, self.stand_still,
                      self.stand_still_in_outages, self.refuse, self.outage,
                      self.cut_from_peers, self.cut_from_all, self.cut_zone_and_kill_successors, self.hang, self.deafen, self.mute,
                      self.late_commits, self.lost_answers, self.late_reports, self.late_commands, self.slow_reports,
                      self.lose_machines, self.forget_changes, self.kill_leader, self.lag_results_and_kill_owners]

    def note(self, what):
        self.schedule.append((round(self.judge.seconds(), 2), what))

    async def play(self, seconds):
        until = time.monotonic() + seconds
        under_way = []
        while time.monotonic() < until:
            under_way.append(asyncio.create_task(self.random.choice(self.kinds)()))
            await asyncio.sleep(self.random.uniform(0.5, 5))
        await asyncio.gather(*under_way)

    def some_node(self):
        return self.cluster.nodes[self.random.choice(self.names)]

    def some_workers(self):
        workers = sorted(self.world.workers)
        return [self.world.workers[w] for w in self.random.sample(workers, min(len(workers), self.random.randint(1, 8)))]

    async def restart(self, node, after):
        node.kill()
        await asyncio.sleep(after)
        if not node.up():
            node.start()

    async def kill(self):
        node, after = self.some_node(), self.random.choice([0.05, 0.2, 1, 6])
        self.note(f"kill {node.name}, back after {after} s")
        await self.restart(node, after)

    async def kill_leader(self):
        leader = self.state.rows.get("s/leader")
        if leader is None or leader[0]["node"] not in self.cluster.nodes:
            return
        node = self.cluster.nodes[leader[0]["node"]]
        self.note(f"kill the leader {node.name}, back after 0.1 s")
        await self.restart(node, 0.1)

    async def lag_results_and_kill_owners(self):
        """What is done is known to workers and owners only, while machines go on being moved and given back."""
        span = self.random.uniform(4, 12)
        self.note(f"rows of results are refused for {span:.1f} s, two owners are killed meanwhile, back after 0.05 s")
        self.state.refused_results = 1.0
        for _ in range(2):
            await asyncio.sleep(span / 2)
            await self.restart(self.some_node(), 0.05)
        self.state.refused_results = 0.0

    async def kill_all(self):
        self.note("kill all")
        await asyncio.gather(*(self.restart(n, self.random.uniform(0.05, 2)) for n in self.cluster.nodes.values()))

    async def kill_twice(self):
        node = self.some_node()
        self.note(f"kill {node.name} three times in an election")
        for _ in range(3):
            await self.restart(node, 0.05)
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def stand_still(self):
        node, span = self.some_node(), self.random.uniform(1, 9)
        self.note(f"{node.name} stands still for {span:.1f} s")
        node.stand_still()
        await asyncio.sleep(span)
        node.go_on()

    async def stand_still_in_outages(self):
        """Its lease at the state service is restored by each outage, so its shares stay its own all the while."""
        node, span = self.some_node(), self.random.uniform(10, max(10, self.longest_pause))
        self.note(f"{node.name} stands still for {span:.1f} s, the state service is in and out meanwhile")
        until = time.monotonic() + span
        node.stand_still()
        while time.monotonic() < until:
            self.state.down = True
            await asyncio.sleep(0.7)
            self.state.down = False
            await asyncio.sleep(0.6)
        node.go_on()

    async def refuse(self):
        name, span = self.random.choice(self.names), self.random.uniform(2, 15)
        self.note(f"the state service refuses {name} for {span:.1f} s")
        self.state.refused.add(name)
        await asyncio.sleep(span)
        self.state.refused.discard(name)

    async def outage(self):
        span = self.random.uniform(2, 12)
        self.note(f"the state service is down for {span:.1f} s")
        self.state.down = True
        await asyncio.sleep(span)
        self.state.down = False

    async def cut_from_peers(self):
        name, span, holds = self.random.choice(self.names), self.random.uniform(2, 12), self.random.random() < 0.5
        self.note(f"{name} is cut from its peers for {span:.1f} s" + (", frames held" if holds else ""))
        self.cluster.cut_peers(name, True, holds)
        await asyncio.sleep(span)
        self.cluster.cut_peers(name, False)

    async def cut_from_all(self):
        name, span = self.random.choice(self.names), self.random.uniform(5, 20)
        self.note(f"{name} is cut from the state service and its peers for {span:.1f} s")
        self.state.refused.add(name)
        self.cluster.cut_peers(name, True)
        await asyncio.sleep(span)
        self.state.refused.discard(name)
        self.cluster.cut_peers(name, False)

    async def cut_zone_and_kill_successors(self):
        if self.world.cut_zone is not None:
            return
        name, zone = self.random.choice(self.names), self.random.choice(["z1", "z2", "z3"])
        span = self.random.uniform(8, 20)
        self.note(f"zone {zone} is cut off with {name} for {span:.1f} s, those who take over are killed")
        self.world.cut_zone = (zone, name)
        self.state.refused.add(name)
        self.cluster.cut_peers(name, True)
        await asyncio.sleep(self.random.uniform(5.5, 8))
        await asyncio.gather(*(self.restart(n, 0.05) for n in self.cluster.nodes.values() if n.name != name))
        await asyncio.sleep(max(0, span - 8))
        self.world.cut_zone = None
        self.state.refused.discard(name)
        self.cluster.cut_peers(name, False)

    async def hang(self):
        workers, span = self.some_workers(), self.random.uniform(1, 12)
        self.note(f"{[w.name for w in workers]} hang for {span:.1f} s")
        for worker in workers:
            worker.hangs_until = time.monotonic() + span

    async def deafen(self):
        workers, span = self.some_workers(), self.random.uniform(1, 12)
        self.note(f"{[w.name for w in workers]} hear nothing for {span:.1f} s")
        for worker in workers:
            worker.deaf_until = time.monotonic() + span

    async def mute(self):
        workers, span = self.some_workers(), self.random.uniform(1, 12)
        self.note(f"{[w.name for w in workers]} reach no node for {span:.1f} s")
        for worker in workers:
            worker.mute_until = time.monotonic() + span

    async def lose_machines(self):
        workers = self.some_workers()[:2]
        self.note(f"{[w.name for w in workers]} are gone")
        for worker in workers:
            self.judge.results_lost(worker)
            worker.gone = True
            self.world.workers.pop(worker.name, None)

    async def forget_changes(self):
        self.note("the state service forgets its changes")
        self.state.forget_changes()

    async def for_some_time(self, owner, attribute, share):
        span = self.random.uniform(3, 12)
        self.note(f"{attribute} {share} for {span:.1f} s")
        setattr(owner, attribute, share)
        await asyncio.sleep(span)
        setattr(owner, attribute, 0.0)

    async def late_commits(self):
        await self.for_some_time(self.state, "late_commits", 0.2)

    async def lost_answers(self):
        await self.for_some_time(self.state, "lost_answers", 0.2)

    async def late_reports(self):
        await self.for_some_time(self.world, "late_reports", 0.4)

    async def late_commands(self):
        await self.for_some_time(self.world, "late_commands", 0.3)

    async def slow_reports(self):
        await self.for_some_time(self.world, "slow_reports", 0.8)
