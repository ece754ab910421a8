"""A simulated state service: rows with revisions, leases, watches, and the faults that the soak injects."""
import asyncio
import time

from aiohttp import web

WATCH_POLL_S = 0.02  # interval at which an open watch looks for changes


class Lease:
    """Expires at `expires_at` unless it is extended, by `ttl_s` seconds from then."""

    def __init__(self, ttl_s):
        self.ttl_s = ttl_s
        self.expires_at = time.monotonic() + ttl_s


class StateService:
    """Listens on one port for each node, so that it can refuse the requests of a single node.

    `max_page_rows` and `max_kept_changes` should be small, so that lists of several pages, and watches
    answered 410 because their changes were discarded, occur all the time."""

    def __init__(self, rng, max_page_rows, max_kept_changes):
        self.rng = rng
        self.max_page_rows = max_page_rows
        self.max_kept_changes = max_kept_changes
        self.rows = {}  # key -> (value, revision, lease id or None)
        self.revision = 1
        self.leases = {}  # id -> Lease
        self.next_lease = 1
        self.changes = []  # (revision, change)
        self.compacted_revision = 0  # changes up to this revision have been discarded
        self.down = False  # an outage: every request fails
        self.refused_nodes = set()  # names of nodes whose requests fail
        self.delayed_commit_rate = 0.0  # fraction of commits executed seconds later and not answered in time
        self.refused_result_rate = 0.0  # fraction of commits with rows of task results that are refused
        self.lost_response_rate = 0.0  # fraction of executed commits that are not answered in time
        self.node_by_port = {}

    def is_unavailable(self, node):
        return self.down or node in self.refused_nodes

    async def serve(self, nodes):
        """Starts the service. Returns the port for each node."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        ports = {}
        for node in nodes:
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            ports[node] = site._server.sockets[0].getsockname()[1]
            self.node_by_port[ports[node]] = node
        asyncio.create_task(self.expire_leases())
        return ports

    async def handle(self, request):
        node = self.node_by_port[request.transport.get_extra_info("sockname")[1]]
        if self.is_unavailable(node):
            return web.json_response({"error": "trouble"}, status=503)
        path = request.path
        if path == "/commit":
            return await self.handle_commit(await request.json())
        if path == "/changes":
            return await self.handle_changes(node, request.query)
        if path == "/kv":
            return self.list_rows(request.query)
        if path.startswith("/kv/"):
            return self.get_row(path[len("/kv/"):])
        return await self.handle_lease(request)

    async def handle_commit(self, commit_request):
        if any(write.get("set", "").startswith("p/")
               for write in commit_request["writes"]) and self.rng.random() < self.refused_result_rate:
            return web.json_response({"error": "trouble"}, status=503)
        if self.rng.random() < self.delayed_commit_rate:
            asyncio.get_running_loop().call_later(self.rng.uniform(1, 8), self.commit, commit_request)
            await asyncio.sleep(10)
        status, body = self.commit(commit_request)
        if self.rng.random() < self.lost_response_rate:
            await asyncio.sleep(10)
        return web.json_response(body, status=status)

    def commit(self, commit_request):
        """Executes all writes under one new revision, or none. Returns the HTTP status and the answer."""
        failed = [guard["path"] for guard in commit_request["guards"]
                  if self.rows.get(guard["path"], (None, 0))[1] != guard["stamp"]]
        if any(write.get("hold") and write["hold"] not in self.leases for write in commit_request["writes"]):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if commit_request["writes"]:
            self.revision += 1
        for write in commit_request["writes"]:
            if "delete" in write:
                self.delete_row(write["delete"])
            else:
                self.rows[write["set"]] = (write["value"], self.revision, write.get("hold"))
                self.append_change({"set": write["set"], "value": write["value"], "stamp": self.revision})
        return 200, {"ledgerRev": self.revision}

    def delete_row(self, key):
        if self.rows.pop(key, None) is not None:
            self.append_change({"delete": key, "stamp": self.revision})

    def append_change(self, change):
        self.changes.append((self.revision, change))
        while len(self.changes) > self.max_kept_changes:
            self.compacted_revision = self.changes.pop(0)[0]

    def compact_changes(self):
        """Discards all changes: watches from older revisions are answered 410."""
        self.changes.clear()
        self.compacted_revision = self.revision

    async def handle_changes(self, node, query):
        """Answers with changes after a revision, once there are any or `holdMs` has passed."""
        prefix, since_revision = query["under"], int(query["since"])
        deadline = time.monotonic() + int(query.get("holdMs", 0)) / 1000
        while True:
            if not self.is_unavailable(node):
                if since_revision < self.compacted_revision:
                    return web.json_response({}, status=410)
                matching_changes = [change for revision, change in self.changes
                                    if revision > since_revision
                                    and change.get("set", change.get("delete")).startswith(prefix)]
                if matching_changes or time.monotonic() >= deadline:
                    return web.json_response({"ledgerRev": self.revision, "news": matching_changes})
            await asyncio.sleep(WATCH_POLL_S)

    def list_rows(self, query):
        """One page of the rows under a prefix, after a key."""
        prefix, after_key = query["under"], query.get("since", "")
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after_key)
        page_size = min(self.max_page_rows, int(query.get("page", 1000)))
        rows = [{"path": key, "value": self.rows[key][0], "stamp": self.rows[key][1]}
                for key in keys[:page_size]]
        return web.json_response({"rows": rows, "hasNext": len(keys) > page_size, "ledgerRev": self.revision})

    def get_row(self, key):
        if key not in self.rows:
            return web.json_response({"ledgerRev": self.revision}, status=404)
        value, revision, lease = self.rows[key]
        return web.json_response({"path": key, "value": value, "stamp": revision, "hold": lease})

    async def handle_lease(self, request):
        parts = request.path.strip("/").split("/")
        if parts == ["grants"]:
            lease_id = self.next_lease
            self.next_lease += 1
            self.leases[lease_id] = Lease((await request.json())["lifeMs"] / 1000)
            return web.json_response({"hold": lease_id})
        lease_id = int(parts[1])
        if lease_id not in self.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        if request.method == "DELETE":
            self.end_lease(lease_id)
        else:
            self.leases[lease_id].expires_at = time.monotonic() + self.leases[lease_id].ttl_s
        return web.json_response({"hold": lease_id})

    def end_lease(self, lease_id):
        """Ends the lease and deletes the rows that it holds."""
        del self.leases[lease_id]
        deleted_keys = [key for key, row in self.rows.items() if row[2] == lease_id]
        if deleted_keys:
            self.revision += 1
        for key in deleted_keys:
            self.delete_row(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if self.down:  # an outage restores the full duration of every lease
                    lease.expires_at = now + lease.ttl_s
                elif now > lease.expires_at:
                    self.end_lease(lease_id)
