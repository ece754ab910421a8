"""The processes under test, and proxies between them that can be cut."""
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


class PeerLink:
    """Frames from one node to another. Cut, it refuses new connections and closes or holds those that are open."""

    def __init__(self, to_port):
        self.to_port = to_port
        self.cut = False
        self.holds = False  # what is sent while it is cut arrives afterwards
        self.writers = set()

    async def serve(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def set_cut(self, cut, holds=False):
        self.cut, self.holds = cut, holds
        if cut and not holds:
            for writer in list(self.writers):
                writer.close()

    async def accept(self, reader, writer):
        if self.cut:
            return writer.close()
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            return writer.close()
        await asyncio.gather(self.forward(reader, to_writer), self.forward(to_reader, writer))

    async def forward(self, reader, writer):
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                while self.cut and self.holds:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        self.writers.discard(writer)
        writer.close()


class Node:
    def __init__(self, name, binary, folder):
        self.name, self.binary, self.folder = name, binary, folder
        self.listen, self.peer_listen = free_port(), free_port()
        self.process = None
        self.ended_by_itself = 0
        self.starts = 0

    def write_settings(self, settings):
        self.settings = os.path.join(self.folder, f"{self.name}.json")
        with open(self.settings, "w") as f:
            json.dump(settings, f)

    def start(self):
        self.starts += 1
        with open(os.path.join(self.folder, f"{self.name}.log"), "a") as log:
            self.process = subprocess.Popen([self.binary, "--config", self.settings], stderr=log, stdout=log,
                                            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})

    def up(self):
        return self.process is not None and self.process.poll() is None

    def note_ends(self):
        """Counts a process that nobody has killed."""
        if self.process is not None and self.process.poll() is not None:
            self.ended_by_itself += 1
            self.process = None

    def kill(self):
        self.note_ends()
        if self.up():
            self.process.kill()
            self.process.wait()
        self.process = None

    def stand_still(self):
        if self.up():
            self.process.send_signal(signal.SIGSTOP)

    def go_on(self):
        if self.up():
            self.process.send_signal(signal.SIGCONT)


class Cluster:
    def __init__(self, names, binary, folder):
        self.nodes = {name: Node(name, binary, folder) for name in names}
        self.links = {}

    async def prepare(self, params, state_ports, cloud_port):
        zones = params["zones"]
        for i, (name, node) in enumerate(self.nodes.items()):
            siblings = []
            for j, (other_name, other) in enumerate(self.nodes.items()):
                if other_name == name:
                    continue
                link = self.links[name, other_name] = PeerLink(other.peer_listen)
                siblings.append({"host_name": other_name, "location": zones[j % len(zones)],
                                 "peer_addr": f"127.0.0.1:{await link.serve()}"})
            node.write_settings({
                "host_name": name, "location": zones[i % len(zones)], "listen": f"127.0.0.1:{node.listen}",
                "peer_listen": f"127.0.0.1:{node.peer_listen}", "siblings": siblings,
                "services": {"cloud": f"127.0.0.1:{cloud_port}", "state": f"127.0.0.1:{state_ports[name]}"}, "params": params})

    def cut_peers(self, name, cut, holds=False):
        for pair, link in self.links.items():
            if name in pair:
                link.set_cut(cut, holds)

    def end(self):
        for node in self.nodes.values():
            node.go_on()
            node.kill()
