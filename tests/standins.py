#!/usr/bin/env python3
"""Stand-ins of our own for the state service, the cloud and workers, to try a node by hand. One process, loopback."""
import argparse
import http.server
import json
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

lock = threading.Condition()


class State:
    def __init__(self):
        self.keys, self.revision, self.leases, self.next_lease, self.log = {}, 1, {}, 1, []

    def expire(self):
        now = time.monotonic()
        for lease in [k for k, v in self.leases.items() if v[1] < now]:
            self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.keys.items() if v[2] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.revision, {"delete": key, "stamp": self.revision}))
            lock.notify_all()

    def commit(self, body):
        failed = [g["path"] for g in body["guards"] if self.keys.get(g["path"], (None, 0))[1] != g["stamp"]]
        if any(w.get("hold") and w["hold"] not in self.leases for w in body["writes"]):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if body["writes"]:
            self.revision += 1
        for w in body["writes"]:
            if "delete" in w:
                self.keys.pop(w["delete"], None)
                self.log.append((self.revision, {"delete": w["delete"], "stamp": self.revision}))
            else:
                self.keys[w["set"]] = (w["value"], self.revision, w.get("hold"))
                self.log.append((self.revision, {"set": w["set"], "value": w["value"], "stamp": self.revision}))
        lock.notify_all()
        return 200, {"ledgerRev": self.revision}


state = State()
machines, jobs_seen = {}, {}
TYPES = {"rigtypes": [{"sku": "small", "vcpus": 4, "cards": 0, "ramGb": 16, "localGb": 10, "fetchGbPerS": 1,
                       "price": 1.0, "lowPrice": 0.4, "startupS": 1, "sites": ["here"]}]}


class Handler(http.server.BaseHTTPRequestHandler):
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
        q = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        with lock:
            state.expire()
            if url.path == "/kv":
                rows = [{"path": k, "value": v[0], "stamp": v[1]} for k, v in sorted(state.keys.items())
                        if k.startswith(q.get("under", "")) and k > q.get("since", "")]
                return self.reply(200, {"rows": rows, "hasNext": False, "ledgerRev": state.revision})
            if url.path.startswith("/kv/"):
                key = url.path[4:]
                if key not in state.keys:
                    return self.reply(404, {"ledgerRev": state.revision})
                value, stamp, _ = state.keys[key]
                return self.reply(200, {"path": key, "value": value, "stamp": stamp})
            if url.path == "/changes":
                until = time.monotonic() + int(q.get("holdMs", 0)) / 1000
                while True:
                    news = [n for r, n in state.log if r > int(q["since"])
                            and (n.get("set") or n.get("delete")).startswith(q.get("under", ""))]
                    if news or time.monotonic() >= until:
                        return self.reply(200, {"ledgerRev": state.revision, "news": news})
                    lock.wait(0.2)
                    state.expire()
            if url.path == "/flavors":
                return self.reply(200, TYPES)
            if url.path == "/rentals":
                rows = [{"nameId": k, "endpoint": v.address, "rigtype": "small", "site": "here", "loaner": v.spot,
                         "status": "running", "ageS": time.monotonic() - v.born} for k, v in sorted(machines.items())]
                return self.reply(200, {"rigs": rows, "hasNext": False})
        self.reply(404, {})

    def do_POST(self):
        body = self.body()
        with lock:
            state.expire()
            if self.path == "/commit":
                return self.reply(*state.commit(body))
            if self.path == "/grants":
                lease, state.next_lease = state.next_lease, state.next_lease + 1
                state.leases[lease] = [body["lifeMs"] / 1000, time.monotonic() + body["lifeMs"] / 1000]
                return self.reply(200, {"hold": lease})
            if self.path.endswith("/extend"):
                lease = state.leases.get(int(self.path.split("/")[2]))
                if not lease:
                    return self.reply(404, {})
                lease[1] = time.monotonic() + lease[0]
                return self.reply(200, {"hold": int(self.path.split("/")[2])})
            if self.path == "/rentals":
                ids = []
                for _ in range(min(body["count"], 8 - len(machines))):
                    worker = Worker(f"i-{Worker.count:06d}", body["loaner"])
                    machines[worker.name] = worker
                    ids.append(worker.name)
                return self.reply(200, {"rigs": ids}) if ids else self.reply(503, {"error": "no capacity"})
            if self.path == "/rentals/delete":
                for name in body["rigs"]:
                    if worker := machines.pop(name, None):
                        worker.gone = True
                return self.reply(200, {})
        self.reply(404, {})

    def do_DELETE(self):
        with lock:
            state.end(int(self.path.split("/")[2]))
        self.reply(200, {})


class Worker:
    """Runs every task for two seconds."""
    count = 1
    node = None

    def __init__(self, name, spot):
        self.name, self.spot, self.born, self.gone = name, spot, time.monotonic(), False
        self.tally, self.token, self.tasks, self.guard = 0, 0, {}, threading.Lock()
        Worker.count += 1
        worker = self

        class Direct(Handler):
            def do_POST(self):
                body = self.body()
                with worker.guard:
                    if body["baton"] < worker.token or body["stint"] != 1:
                        return self.reply(409, worker.report())
                    worker.obey(body)
                    return self.reply(200, worker.report())

        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Direct)
        server.daemon_threads = True
        self.address = "127.0.0.1:%d" % server.server_address[1]
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.run, daemon=True).start()

    def obey(self, body):
        self.token = body["baton"]
        for o in body["orders"]:
            key = (o["piece"], o["try"])
            if o["verb"] == "launch":
                self.tasks.setdefault(key, [time.monotonic() + 2, None])
            elif o["verb"] == "halt" and key in self.tasks and not self.tasks[key][1]:
                self.tasks[key][1] = "stopped"
            elif o["verb"] == "forget":
                self.tasks.pop(key, None)

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            if not task[1] and time.monotonic() > task[0]:
                task[1] = "done"
            row = {"piece": piece, "try": attempt, "status": "ended" if task[1] else "running"}
            if task[1]:
                row["cause"] = task[1]
            pieces.append(row)
        return {"rig": self.name, "endpoint": self.address, "rigtype": "small", "site": "here", "loaner": self.spot,
                "stint": 1, "tally": self.tally, "baton": self.token, "warningS": None, "pieces": pieces}

    def run(self):
        time.sleep(1)
        while not self.gone:
            with self.guard:
                body = json.dumps(self.report()).encode()
            try:
                request = urllib.request.Request(f"http://{Worker.node}/hello", data=body, method="POST")
                answer = json.loads(urllib.request.urlopen(request, timeout=4).read())
                with self.guard:
                    if answer["baton"] >= self.token:
                        self.obey(answer)
            except (urllib.error.URLError, OSError, ValueError):
                pass
            time.sleep(0.5)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=18090, help="of the state service and the cloud")
    parser.add_argument("--node-port", type=int, default=18080)
    parser.add_argument("--write-settings", metavar="FILE", help="write a node's settings here")
    args = parser.parse_args()
    Worker.node = f"127.0.0.1:{args.node_port}"
    here = f"127.0.0.1:{args.port}"
    if args.write_settings:
        team = {"name": "try", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0}
        settings = {
            "host_name": "node-0", "location": "here", "listen": Worker.node,
            "peer_listen": f"127.0.0.1:{args.node_port + 1}", "siblings": [],
            "services": {"cloud": here, "state": here},
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
