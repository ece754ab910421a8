"""A stand-in for the state service: keys with revisions, leases, watches, and the faults that a soak injects."""
import asyncio
import time

from aiohttp import web

LOOK_AGAIN_S = 0.02  # for changes, while a watch is open


class Lease:
    def __init__(self, life):
        self.life = life
        self.ends = time.monotonic() + life


class StateService:
    """One port for each node, so that a node can be refused alone. `page_rows` and `kept_changes` are small on purpose:
    lists of many pages and 410 are met all the time."""

    def __init__(self, random, page_rows, kept_changes):
        self.random = random
        self.page_rows = page_rows
        self.kept_changes = kept_changes
        self.rows = {}  # key -> (value, revision, lease or None)
        self.revision = 1
        self.leases = {}
        self.next_lease = 1
        self.changes = []  # (revision, change)
        self.oldest = 0  # changes up to this revision are forgotten
        self.down = False
        self.refused = set()  # nodes
        self.late_commits = 0.0  # part of commits that are executed seconds later, unanswered
        self.refused_results = 0.0  # part of commits with rows of results that are refused
        self.lost_answers = 0.0  # part of answers to commits
        self.node_of_port = {}

    def unavailable(self, node):
        return self.down or node in self.refused

    async def serve(self, nodes):
        """Returns the port for each node."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        ports = {}
        for node in nodes:
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            ports[node] = site._server.sockets[0].getsockname()[1]
            self.node_of_port[ports[node]] = node
        asyncio.create_task(self.expire())
        return ports

    async def handle(self, request):
        node = self.node_of_port[request.transport.get_extra_info("sockname")[1]]
        if self.unavailable(node):
            return web.json_response({"error": "trouble"}, status=503)
        path = request.path
        if path == "/commit":
            return await self.handle_commit(await request.json())
        if path == "/changes":
            return await self.handle_changes(node, request.query)
        if path == "/kv":
            return self.page(request.query)
        if path.startswith("/kv/"):
            return self.get(path[len("/kv/"):])
        return await self.handle_lease(request)

    async def handle_commit(self, asked):
        if any(w.get("set", "").startswith("p/") for w in asked["writes"]) and self.random.random() < self.refused_results:
            return web.json_response({"error": "trouble"}, status=503)
        if self.random.random() < self.late_commits:
            asyncio.get_running_loop().call_later(self.random.uniform(1, 8), self.commit, asked)
            await asyncio.sleep(10)
        status, body = self.commit(asked)
        if self.random.random() < self.lost_answers:
            await asyncio.sleep(10)
        return web.json_response(body, status=status)

    def commit(self, asked):
        failed = [g["path"] for g in asked["guards"] if self.rows.get(g["path"], (None, 0))[1] != g["stamp"]]
        if any(w.get("hold") and w["hold"] not in self.leases for w in asked["writes"]):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if asked["writes"]:
            self.revision += 1
        for write in asked["writes"]:
            if "delete" in write:
                self.remove(write["delete"])
            else:
                self.rows[write["set"]] = (write["value"], self.revision, write.get("hold"))
                self.log({"set": write["set"], "value": write["value"], "stamp": self.revision})
        return 200, {"ledgerRev": self.revision}

    def remove(self, key):
        if self.rows.pop(key, None) is not None:
            self.log({"delete": key, "stamp": self.revision})

    def log(self, change):
        self.changes.append((self.revision, change))
        while len(self.changes) > self.kept_changes:
            self.oldest = self.changes.pop(0)[0]

    def forget_changes(self):
        self.changes.clear()
        self.oldest = self.revision

    async def handle_changes(self, node, query):
        under, since = query["under"], int(query["since"])
        until = time.monotonic() + int(query.get("holdMs", 0)) / 1000
        while True:
            if not self.unavailable(node):
                if since < self.oldest:
                    return web.json_response({}, status=410)
                news = [c for revision, c in self.changes if revision > since and c.get("set", c.get("delete")).startswith(under)]
                if news or time.monotonic() >= until:
                    return web.json_response({"ledgerRev": self.revision, "news": news})
            await asyncio.sleep(LOOK_AGAIN_S)

    def page(self, query):
        under, since = query["under"], query.get("since", "")
        keys = sorted(k for k in self.rows if k.startswith(under) and k > since)
        size = min(self.page_rows, int(query.get("page", 1000)))
        rows = [{"path": k, "value": self.rows[k][0], "stamp": self.rows[k][1]} for k in keys[:size]]
        return web.json_response({"rows": rows, "hasNext": len(keys) > size, "ledgerRev": self.revision})

    def get(self, key):
        if key not in self.rows:
            return web.json_response({"ledgerRev": self.revision}, status=404)
        value, stamp, lease = self.rows[key]
        return web.json_response({"path": key, "value": value, "stamp": stamp, "hold": lease})

    async def handle_lease(self, request):
        parts = request.path.strip("/").split("/")
        if parts == ["grants"]:
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = Lease((await request.json())["lifeMs"] / 1000)
            return web.json_response({"hold": lease})
        lease = int(parts[1])
        if lease not in self.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        if request.method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease].ends = time.monotonic() + self.leases[lease].life
        return web.json_response({"hold": lease})

    def end_lease(self, lease):
        del self.leases[lease]
        gone = [k for k, row in self.rows.items() if row[2] == lease]
        if gone:
            self.revision += 1
        for key in gone:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number, lease in list(self.leases.items()):
                if self.down:  # an outage restores the full time of all leases
                    lease.ends = now + lease.life
                elif now > lease.ends:
                    self.end_lease(number)
