#!/usr/bin/env python3
"""Simulates the state service, the cloud and workers in one process over loopback, to try a node by hand."""
import argparse
import http.server
import json
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

lock = threading.Condition()  # guards the state service and `workers`; notified of new changes


class StateService:
    """Rows with revisions, leases and the history of changes. All calls need `lock`."""

    def __init__(self):
        self.rows, self.revision, self.leases, self.next_lease, self.changes = {}, 1, {}, 1, []
        # rows: key -> (value, revision, lease id or None); leases: id -> [seconds, end time];
        # changes: (revision, change)

    def expire_leases(self):
        now = time.monotonic()
        for lease in [key for key, v in self.leases.items() if v[1] < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        deleted_keys = [key for key, v in self.rows.items() if v[2] == lease]
        if deleted_keys:
            self.revision += 1
            for key in deleted_keys:
                del self.rows[key]
                self.changes.append((self.revision, {"delete": key, "stamp": self.revision}))
            lock.notify_all()

    def commit(self, body):
        failed = [guard["path"] for guard in body["guards"]
                  if self.rows.get(guard["path"], (None, 0))[1] != guard["stamp"]]
        if any(write.get("hold") and write["hold"] not in self.leases for write in body["writes"]):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if body["writes"]:
            self.revision += 1
        for write in body["writes"]:
            if "delete" in write:
                self.rows.pop(write["delete"], None)
                self.changes.append((self.revision, {"delete": write["delete"], "stamp": self.revision}))
            else:
                self.rows[write["set"]] = (write["value"], self.revision, write.get("hold"))
                self.changes.append(
                    (self.revision, {"set": write["set"], "value": write["value"], "stamp": self.revision}))
        lock.notify_all()
        return 200, {"ledgerRev": self.revision}


state_service = StateService()
workers, jobs_seen = {}, {}  # name -> Worker
MACHINE_TYPES = {"rigtypes": [{"sku": "small", "vcpus": 4, "cards": 0, "ramGb": 16, "localGb": 10, "fetchGbPerS": 1,
                       "price": 1.0, "lowPrice": 0.4, "startupS": 1, "sites": ["here"]}]}


class Handler(http.server.BaseHTTPRequestHandler):
    """The state service's and the cloud's requests."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")

    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = {key: v[0] for key, v in urllib.parse.parse_qs(url.query).items()}
        with lock:
            state_service.expire_leases()
            if url.path == "/kv":
                rows = [{"path": key, "value": v[0], "stamp": v[1]} for key, v in sorted(state_service.rows.items())
                        if key.startswith(query.get("under", "")) and key > query.get("since", "")]
                return self.reply(200, {"rows": rows, "hasNext": False, "ledgerRev": state_service.revision})
            if url.path.startswith("/kv/"):
                key = url.path[4:]
                if key not in state_service.rows:
                    return self.reply(404, {"ledgerRev": state_service.revision})
                value, revision, _ = state_service.rows[key]
                return self.reply(200, {"path": key, "value": value, "stamp": revision})
            if url.path == "/changes":
                deadline = time.monotonic() + int(query.get("holdMs", 0)) / 1000
                while True:
                    changes = [change for revision, change in state_service.changes
                               if revision > int(query["since"])
                               and (change.get("set") or change.get("delete")).startswith(query.get("under", ""))]
                    if changes or time.monotonic() >= deadline:
                        return self.reply(200, {"ledgerRev": state_service.revision, "news": changes})
                    lock.wait(0.2)
                    state_service.expire_leases()
            if url.path == "/flavors":
                return self.reply(200, MACHINE_TYPES)
            if url.path == "/rentals":
                rows = [{"nameId": key, "endpoint": v.address, "rigtype": "small", "site": "here", "loaner": v.spot,
                         "status": "running", "ageS": time.monotonic() - v.started_at}
                        for key, v in sorted(workers.items())]
                return self.reply(200, {"rigs": rows, "hasNext": False})
        self.reply(404, {})

    def do_POST(self):
        body = self.body()
        with lock:
            state_service.expire_leases()
            if self.path == "/commit":
                return self.reply(*state_service.commit(body))
            if self.path == "/grants":
                lease, state_service.next_lease = state_service.next_lease, state_service.next_lease + 1
                state_service.leases[lease] = [body["lifeMs"] / 1000, time.monotonic() + body["lifeMs"] / 1000]
                return self.reply(200, {"hold": lease})
            if self.path.endswith("/extend"):
                lease = state_service.leases.get(int(self.path.split("/")[2]))
                if not lease:
                    return self.reply(404, {})
                lease[1] = time.monotonic() + lease[0]
                return self.reply(200, {"hold": int(self.path.split("/")[2])})
            if self.path == "/rentals":
                names = []
                for _ in range(min(body["count"], 8 - len(workers))):
                    worker = Worker(f"i-{Worker.next_number:06d}", body["loaner"])
                    workers[worker.name] = worker
                    names.append(worker.name)
                return self.reply(200, {"rigs": names}) if names else self.reply(503, {"error": "no capacity"})
            if self.path == "/rentals/delete":
                for name in body["rigs"]:
                    if worker := workers.pop(name, None):
                        worker.terminated = True
                return self.reply(200, {})
        self.reply(404, {})

    def do_DELETE(self):
        with lock:
            state_service.end_lease(int(self.path.split("/")[2]))
        self.reply(200, {})


class Worker:
    """A machine's worker. It runs every task for two seconds, and executes no orders with an older token."""
    next_number = 1
    node = None  # address of the node to report to

    def __init__(self, name, spot):
        self.name, self.spot, self.started_at, self.terminated = name, spot, time.monotonic(), False
        self.report_seq, self.token, self.tasks, self.mutex = 0, 0, {}, threading.Lock()
        # tasks: (task, attempt) -> [end time, cause of the end or None]
        Worker.next_number += 1
        worker = self

        class PushHandler(Handler):
            def do_POST(self):
                body = self.body()
                with worker.mutex:
                    if body["baton"] < worker.token or body["stint"] != 1:
                        return self.reply(409, worker.report())
                    worker.execute_orders(body)
                    return self.reply(200, worker.report())

        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), PushHandler)
        server.daemon_threads = True
        self.address = "127.0.0.1:%d" % server.server_address[1]
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.run, daemon=True).start()

    def execute_orders(self, body):
        self.token = body["baton"]
        for order in body["orders"]:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch":
                self.tasks.setdefault(key, [time.monotonic() + 2, None])
            elif order["verb"] == "halt" and key in self.tasks and not self.tasks[key][1]:
                self.tasks[key][1] = "stopped"
            elif order["verb"] == "forget":
                self.tasks.pop(key, None)

    def report(self):
        self.report_seq += 1
        task_reports = []
        for (task, attempt), run in self.tasks.items():
            if not run[1] and time.monotonic() > run[0]:
                run[1] = "done"
            task_report = {"piece": task, "try": attempt, "status": "ended" if run[1] else "running"}
            if run[1]:
                task_report["cause"] = run[1]
            task_reports.append(task_report)
        return {"rig": self.name, "endpoint": self.address, "rigtype": "small", "site": "here", "loaner": self.spot,
                "stint": 1, "tally": self.report_seq, "baton": self.token, "warningS": None, "pieces": task_reports}

    def run(self):
        time.sleep(1)
        while not self.terminated:
            with self.mutex:
                body = json.dumps(self.report()).encode()
            try:
                request = urllib.request.Request(f"http://{Worker.node}/hello", data=body, method="POST")
                answer = json.loads(urllib.request.urlopen(request, timeout=4).read())
                with self.mutex:
                    if answer["baton"] >= self.token:
                        self.execute_orders(answer)
            except (urllib.error.URLError, OSError, ValueError):
                pass
            time.sleep(0.5)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=18090, help="port of the state service and the cloud")
    parser.add_argument("--node-port", type=int, default=18080)
    parser.add_argument("--write-settings", metavar="FILE", help="write settings for the node to this file")
    args = parser.parse_args()
    Worker.node = f"127.0.0.1:{args.node_port}"
    services_address = f"127.0.0.1:{args.port}"
    if args.write_settings:
        team = {"name": "try", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0}
        settings = {
            "host_name": "node-0", "location": "here", "listen": Worker.node,
            "peer_listen": f"127.0.0.1:{args.node_port + 1}", "siblings": [],
            "services": {"cloud": services_address, "state": services_address},
            "params": {"nodes": 1, "zones": ["here"], "teams": [team], "objectives": [],
                       "workers": {"report_s": 0.5, "lease_s": 10, "gang_wait_s": 30, "gang_peer_s": 5, "cancel_s": 30},
                       "state": {"rps": 100, "write_rps": 50, "value_kb": 16, "txn_ops": 20},
                       "cloud": {"rps": 5, "list_lag_s": 1},
                       "limits": {"cpu": 1, "ram_mb": 256, "sockets": 200}, "clock_error_ms": 10}}
        with open(args.write_settings, "w", encoding="utf-8") as f:
            json.dump(settings, f, indent=2)
    server = http.server.ThreadingHTTPServer(("127.0.0.1", args.port), Handler)
    server.daemon_threads = True
    server.serve_forever()


if __name__ == "__main__":
    main()
