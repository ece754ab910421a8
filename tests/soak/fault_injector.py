"""Injects a seeded schedule of faults. Each lasts for some time and is then reverted; faults overlap."""
import asyncio
import time


class FaultInjector:
    """Injects faults into nodes, peer links, the state service and the machines, and records when.

    `fault_kinds` are drawn uniformly; their order and number determine what a seed means."""

    def __init__(self, rng, checker, cluster, state_service, fleet, max_freeze_s):
        self.rng, self.checker = rng, checker
        self.cluster, self.state_service, self.fleet = cluster, state_service, fleet
        self.node_names = sorted(cluster.nodes)
        self.max_freeze_s = max_freeze_s  # longest time for which a node is stopped
        self.schedule = []  # (seconds since the start, description)
        self.fault_kinds = [self.kill_node, self.kill_node, self.kill_all_nodes, self.kill_node_repeatedly,
                            self.freeze_node, self.freeze_node_during_outages, self.refuse_node,
                            self.state_outage, self.partition_from_peers, self.isolate_node,
                            self.partition_zone_and_kill_successors, self.hang_workers,
                            self.block_worker_inbound, self.block_worker_outbound, self.delay_commits,
                            self.lose_commit_responses, self.replay_reports, self.delay_pushes,
                            self.slow_down_reports, self.lose_machines, self.compact_state_changes,
                            self.kill_leader, self.refuse_results_and_kill_owners]

    def record(self, description):
        self.schedule.append((round(self.checker.elapsed_s(), 2), description))

    async def run(self, seconds):
        """Injects faults for `seconds`, then waits until all are reverted."""
        deadline = time.monotonic() + seconds
        running_faults = []
        while time.monotonic() < deadline:
            running_faults.append(asyncio.create_task(self.rng.choice(self.fault_kinds)()))
            await asyncio.sleep(self.rng.uniform(0.5, 5))
        await asyncio.gather(*running_faults)

    def random_node(self):
        return self.cluster.nodes[self.rng.choice(self.node_names)]

    def random_workers(self):
        workers = sorted(self.fleet.workers)
        return [self.fleet.workers[w]
                for w in self.rng.sample(workers, min(len(workers), self.rng.randint(1, 8)))]

    async def restart(self, node, delay_s):
        node.kill()
        await asyncio.sleep(delay_s)
        if not node.is_running():
            node.start()

    async def kill_node(self):
        node, delay_s = self.random_node(), self.rng.choice([0.05, 0.2, 1, 6])
        self.record(f"kill {node.name}, restart after {delay_s} s")
        await self.restart(node, delay_s)

    async def kill_leader(self):
        leader = self.state_service.rows.get("s/leader")
        if leader is None or leader[0]["node"] not in self.cluster.nodes:
            return
        node = self.cluster.nodes[leader[0]["node"]]
        self.record(f"kill the leader {node.name}, restart after 0.1 s")
        await self.restart(node, 0.1)

    async def refuse_results_and_kill_owners(self):
        """Results not yet written are known only to their workers and the shares' owners, while machines are
        still moved between shares and released."""
        duration_s = self.rng.uniform(4, 12)
        self.record(
            f"writes of results are refused for {duration_s:.1f} s, two nodes killed, restart after 0.05 s")
        self.state_service.refused_result_rate = 1.0
        for _ in range(2):
            await asyncio.sleep(duration_s / 2)
            await self.restart(self.random_node(), 0.05)
        self.state_service.refused_result_rate = 0.0

    async def kill_all_nodes(self):
        self.record("kill all nodes")
        await asyncio.gather(*(self.restart(n, self.rng.uniform(0.05, 2))
                               for n in self.cluster.nodes.values()))

    async def kill_node_repeatedly(self):
        node = self.random_node()
        self.record(f"kill {node.name} three times during an election")
        for _ in range(3):
            await self.restart(node, 0.05)
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def freeze_node(self):
        node, duration_s = self.random_node(), self.rng.uniform(1, 9)
        self.record(f"{node.name} is frozen for {duration_s:.1f} s")
        node.freeze()
        await asyncio.sleep(duration_s)
        node.resume()

    async def freeze_node_during_outages(self):
        """Each outage restores the node's lease at the state service: it owns its shares all the while."""
        node, duration_s = self.random_node(), self.rng.uniform(10, max(10, self.max_freeze_s))
        self.record(f"{node.name} is frozen for {duration_s:.1f} s, with short outages of the state service")
        deadline = time.monotonic() + duration_s
        node.freeze()
        while time.monotonic() < deadline:
            self.state_service.down = True
            await asyncio.sleep(0.7)
            self.state_service.down = False
            await asyncio.sleep(0.6)
        node.resume()

    async def refuse_node(self):
        """The state service rejects the requests of one node."""
        name, duration_s = self.rng.choice(self.node_names), self.rng.uniform(2, 15)
        self.record(f"the state service refuses {name} for {duration_s:.1f} s")
        self.state_service.refused_nodes.add(name)
        await asyncio.sleep(duration_s)
        self.state_service.refused_nodes.discard(name)

    async def state_outage(self):
        duration_s = self.rng.uniform(2, 12)
        self.record(f"the state service is down for {duration_s:.1f} s")
        self.state_service.down = True
        await asyncio.sleep(duration_s)
        self.state_service.down = False

    async def partition_from_peers(self):
        name, duration_s, hold_data = self.rng.choice(self.node_names), self.rng.uniform(
            2, 12), self.rng.random() < 0.5
        self.record(f"{name} is partitioned from its peers for {duration_s:.1f} s"
                    + (", traffic is held" if hold_data else ""))
        self.cluster.set_peers_blocked(name, True, hold_data)
        await asyncio.sleep(duration_s)
        self.cluster.set_peers_blocked(name, False)

    async def isolate_node(self):
        name, duration_s = self.rng.choice(self.node_names), self.rng.uniform(5, 20)
        self.record(f"{name} is partitioned from the state service and its peers for {duration_s:.1f} s")
        self.state_service.refused_nodes.add(name)
        self.cluster.set_peers_blocked(name, True)
        await asyncio.sleep(duration_s)
        self.state_service.refused_nodes.discard(name)
        self.cluster.set_peers_blocked(name, False)

    async def partition_zone_and_kill_successors(self):
        """Isolates a node with the workers of one zone and kills the others about when they take over."""
        if self.fleet.zone_partition is not None:
            return
        name, zone = self.rng.choice(self.node_names), self.rng.choice(["z1", "z2", "z3"])
        duration_s = self.rng.uniform(8, 20)
        self.record(
            f"zone {zone} is partitioned with {name} for {duration_s:.1f} s, the successors are killed")
        self.fleet.zone_partition = (zone, name)
        self.state_service.refused_nodes.add(name)
        self.cluster.set_peers_blocked(name, True)
        await asyncio.sleep(self.rng.uniform(5.5, 8))
        await asyncio.gather(*(self.restart(n, 0.05) for n in self.cluster.nodes.values() if n.name != name))
        await asyncio.sleep(max(0, duration_s - 8))
        self.fleet.zone_partition = None
        self.state_service.refused_nodes.discard(name)
        self.cluster.set_peers_blocked(name, False)

    async def hang_workers(self):
        workers, duration_s = self.random_workers(), self.rng.uniform(1, 12)
        self.record(f"{[w.name for w in workers]} hang for {duration_s:.1f} s")
        for worker in workers:
            worker.hung_until = time.monotonic() + duration_s

    async def block_worker_inbound(self):
        """The workers' reports arrive, but no order push and no response reaches the workers."""
        workers, duration_s = self.random_workers(), self.rng.uniform(1, 12)
        self.record(f"{[w.name for w in workers]} receive nothing for {duration_s:.1f} s")
        for worker in workers:
            worker.inbound_blocked_until = time.monotonic() + duration_s

    async def block_worker_outbound(self):
        """The workers' reports reach no node, while order pushes reach the workers."""
        workers, duration_s = self.random_workers(), self.rng.uniform(1, 12)
        self.record(f"{[w.name for w in workers]} cannot reach any node for {duration_s:.1f} s")
        for worker in workers:
            worker.outbound_blocked_until = time.monotonic() + duration_s

    async def lose_machines(self):
        workers = self.random_workers()[:2]
        self.record(f"{[w.name for w in workers]} are lost")
        for worker in workers:
            self.checker.on_results_lost(worker)
            worker.terminated = True
            self.fleet.workers.pop(worker.name, None)

    async def compact_state_changes(self):
        self.record("the state service discards its change history")
        self.state_service.compact_changes()

    async def apply_rate_temporarily(self, target, attribute, rate):
        """Sets a fault rate of `target`, a fraction of its requests, for some seconds."""
        duration_s = self.rng.uniform(3, 12)
        self.record(f"{attribute} {rate} for {duration_s:.1f} s")
        setattr(target, attribute, rate)
        await asyncio.sleep(duration_s)
        setattr(target, attribute, 0.0)

    async def delay_commits(self):
        await self.apply_rate_temporarily(self.state_service, "delayed_commit_rate", 0.2)

    async def lose_commit_responses(self):
        await self.apply_rate_temporarily(self.state_service, "lost_response_rate", 0.2)

    async def replay_reports(self):
        await self.apply_rate_temporarily(self.fleet, "replayed_report_rate", 0.4)

    async def delay_pushes(self):
        await self.apply_rate_temporarily(self.fleet, "delayed_push_rate", 0.3)

    async def slow_down_reports(self):
        await self.apply_rate_temporarily(self.fleet, "slow_report_rate", 0.8)
