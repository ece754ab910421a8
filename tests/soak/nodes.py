"""The aspenwick processes under test, and proxies between them that can block traffic."""
import asyncio
import json
import os
import signal
import socket
import subprocess


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class PeerProxy:
    """A TCP proxy for the peer connections from one node to another.

    While blocked it refuses new connections, and closes the open ones or holds their data."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.blocked = False
        self.hold_data = False  # data sent on open connections while blocked is delivered afterwards
        self.writers = set()

    async def serve(self):
        """Returns the port on which the proxy listens."""
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def set_blocked(self, blocked, hold_data=False):
        self.blocked, self.hold_data = blocked, hold_data
        if blocked and not hold_data:
            for writer in list(self.writers):
                writer.close()

    async def accept(self, reader, writer):
        if self.blocked:
            return writer.close()
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            return writer.close()
        await asyncio.gather(self.forward(reader, target_writer), self.forward(target_reader, writer))

    async def forward(self, reader, writer):
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                while self.blocked and self.hold_data:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        self.writers.discard(writer)
        writer.close()


class Node:
    """An aspenwick process, its ports, settings and log. Settings and log are written to `work_dir`."""

    def __init__(self, name, binary, work_dir):
        self.name, self.binary, self.work_dir = name, binary, work_dir
        self.http_port, self.peer_port = free_port(), free_port()
        self.process = None
        self.unexpected_exits = 0
        self.start_count = 0

    def write_settings(self, settings):
        self.settings_path = os.path.join(self.work_dir, f"{self.name}.json")
        with open(self.settings_path, "w") as f:
            json.dump(settings, f)

    def start(self):
        self.start_count += 1
        with open(os.path.join(self.work_dir, f"{self.name}.log"), "a") as log:
            self.process = subprocess.Popen(
                [self.binary, "--config", self.settings_path], stderr=log, stdout=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def count_unexpected_exit(self):
        """Counts the process if it has exited without `kill`."""
        if self.process is not None and self.process.poll() is not None:
            self.unexpected_exits += 1
            self.process = None

    def kill(self):
        self.count_unexpected_exit()
        if self.is_running():
            self.process.kill()
            self.process.wait()
        self.process = None

    def freeze(self):
        """Stops the process with SIGSTOP until `resume`."""
        if self.is_running():
            self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)


class Cluster:
    """All nodes, with a proxy for each ordered pair of them."""

    def __init__(self, names, binary, work_dir):
        self.nodes = {name: Node(name, binary, work_dir) for name in names}
        self.proxies = {}

    async def configure(self, params, state_ports, cloud_port):
        """Starts the proxies and writes the settings; `state_ports` has the state service's port by node."""
        zones = params["zones"]
        for i, (name, node) in enumerate(self.nodes.items()):
            peers = []
            for j, (other_name, other_node) in enumerate(self.nodes.items()):
                if other_name == name:
                    continue
                proxy = self.proxies[name, other_name] = PeerProxy(other_node.peer_port)
                peers.append({"host_name": other_name, "location": zones[j % len(zones)],
                              "peer_addr": f"127.0.0.1:{await proxy.serve()}"})
            node.write_settings({
                "host_name": name, "location": zones[i % len(zones)], "listen": f"127.0.0.1:{node.http_port}",
                "peer_listen": f"127.0.0.1:{node.peer_port}", "siblings": peers,
                "services": {"cloud": f"127.0.0.1:{cloud_port}", "state": f"127.0.0.1:{state_ports[name]}"},
                "params": params})

    def set_peers_blocked(self, name, blocked, hold_data=False):
        """Blocks or unblocks all traffic between the node and its peers."""
        for pair, proxy in self.proxies.items():
            if name in pair:
                proxy.set_blocked(blocked, hold_data)

    def stop(self):
        for node in self.nodes.values():
            node.resume()
            node.kill()
