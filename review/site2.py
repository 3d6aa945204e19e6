"""Stand-ins and helpers for the scripts in review/4 to review/8: a small deployment on loopback.

The programs of the deploy file run as separate processes with their settings in the form of
deploy/*.conf. The store and the replicas are small servers that follow PROTOCOL.md; each runs as a
process of its own: `site2.py store ADDRESS` and `site2.py replica ADDRESS ID`.

Everything listens at 127.0.0.1 at free ports, writes to a temporary folder, and is ended by Site.end().
"""

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "seamarchd")
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
TENANT = "hule930"
_reserved = []


class CannotRun(Exception):
    """The case cannot run here: exit code 2."""


def free_address():
    """Returns a loopback address whose port stays reserved by a UDP socket until this process ends."""
    for _ in range(200):
        port = random.randint(12000, 30000)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as tcp:
            try:
                udp.bind(("127.0.0.1", port))
                tcp.bind(("127.0.0.1", port))
            except OSError:
                udp.close()
                continue
        _reserved.append(udp)
        return f"127.0.0.1:{port}"
    raise CannotRun("no free port")


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def get(address, path, body=None, timeout=5.0):
    """Calls an operator's or a stand-in's own interface. Returns (status, text); status 0: no answer."""
    connection = http.client.HTTPConnection(*split(address), timeout=timeout)
    try:
        connection.request("POST" if body is not None else "GET", path, body)
        answer = connection.getresponse()
        return answer.status, answer.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


def control(address, change):
    status, text = get(address, "/control", json.dumps(change))
    if status != 200:
        raise CannotRun(f"the stand-in at {address} does not answer")
    return json.loads(text)


def wait_until(what, check, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise CannotRun(f"{what}: not within {seconds} s")


def config(version=1, services=("scribe", "portal"), **more):
    """A configuration like that of a small site: one streaming, one unsafe and one safe route."""
    routes = [
        {"name": "r-draft", "hostname": HOST, "path-prefix": "/draft/", "type": "streaming", "timeout-ms": 8000,
         "target-latency-ms": 500, "target-gap-ms": 120, "priority": 1, "service": services[0],
         "max-attempts": 2, "public": False, "stream-resume": True},
        {"name": "r-status", "hostname": HOST, "path-prefix": "/status/", "type": "unsafe", "timeout-ms": 800,
         "target-latency-ms": 300, "priority": 2, "service": services[1], "max-attempts": 1, "public": False},
        {"name": "r-notice", "hostname": HOST, "path-prefix": "/notice/", "type": "safe", "timeout-ms": 800,
         "target-latency-ms": 300, "priority": 2, "service": services[1], "max-attempts": 2, "public": False},
    ]
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/healthz", "max-connections": 348, "protocol": "h1",
                          "tls": False} for name in dict.fromkeys(services)],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 10000,
                       "idle-timeout-ms": 60000},
            "tenants": [{"name": TENANT, "api-keys": [KEY]}], **more}


class Site:
    """Starts processes, and ends exactly those that it started."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="seamarch-review-")
        self.processes = []
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/bin/seamarchd is missing: run the build of deploy/system.toml")
        self.store = free_address()
        self.start([sys.executable, os.path.abspath(__file__), "store", self.store], "store")
        wait_until("the store answers", lambda: get(self.store, "/control", "{}")[0] == 200)

    def start(self, command, name, **more):
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT, **more)
        self.processes.append(process)
        return process

    def replica(self, name, service, capacity=12, zone="ebene-hall", listed=None, own=None):
        """Starts a replica (or takes the address `own`) and lists it in the store at `listed`."""
        address = own or free_address()
        if own is None:
            self.start([sys.executable, os.path.abspath(__file__), "replica", address, name], name)
            wait_until(f"{name} answers", lambda: get(address, "/control", "{}")[0] == 200)
        self.list(name, service, listed or address, capacity, zone)
        return address

    def list(self, name, service, address, capacity=12, zone="ebene-hall", phase="ready"):
        entry = {"service": service, "address": address, "zone": zone, "version": "v1", "capacity": capacity,
                 "phase": phase, "warmup-left-ms": 0, "sequence": 1}
        control(self.store, {"put": {f"servers/{name}": entry}})

    def gateway_addresses(self):
        return {name: free_address() for name in ("frontend", "readiness", "control-plane", "metrics")}

    def gateway(self, name, addresses, seeds, zone="ebene-hall", **more):
        """Starts a gateway with the settings of deploy/gateway.conf, filled as for a small site."""
        settings = {"instance": name, "hall": zone,
                    "hall-regions": "ebene-hall:mu-central,reduit-hall:mu-central,phoenix-hall:mu-central",
                    "listen": addresses["frontend"], "operator-listen": addresses["readiness"],
                    "metrics-listen": addresses["metrics"], "platform": self.store,
                    "peer-listen": addresses["control-plane"], "seeds": ",".join(seeds),
                    "agent-port": free_address().rsplit(":", 1)[1], "key-life-ms": 5000, "config-spread-ms": 2000,
                    "leaving-limit-ms": 2000, "stop-limit-s": 8, "retry-ratio": 0.2, "retry-slack": 90,
                    "memory-mb": 260, **more}
        path = os.path.join(self.folder, name + ".conf")
        with open(path, "w", encoding="ascii") as file:
            file.writelines(f"{key} = {value}\n" for key, value in settings.items())
        return self.start([PROGRAM, "gateway"], name, env={**os.environ, "SEAMARCH_CONFIG": path})

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started, self.lock = time.monotonic(), threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def headers(number, deadline_ms, **more):
    return {"Host": HOST, "Seamarch-Request-Id": number, "Seamarch-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}", **more}


# Stand-ins, each in a process of its own.


class Server:
    """An HTTP/1.1 server with a thread for each connection."""

    def __init__(self, address):
        self.listener = socket.create_server(split(address), backlog=512)
        self.lock = threading.Condition()

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_connection, args=(connection,), daemon=True).start()

    def serve_connection(self, connection):
        with connection, connection.makefile("rb") as reader:
            while True:
                try:
                    line = reader.readline().split()
                    if len(line) != 3:
                        return
                    fields = http.client.parse_headers(reader)
                    body = reader.read(int(fields.get("Content-Length") or 0))
                    if not self.serve(connection, line[0].decode(), line[1].decode(), fields, body):
                        return
                except (OSError, http.client.HTTPException, ValueError):
                    return

    @staticmethod
    def answer(connection, status, fields, body):
        if isinstance(body, dict):
            body = json.dumps(body).encode()
            fields = {"Content-Type": "application/json", **fields}
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
        connection.sendall("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
        return True


class Store(Server):
    """The platform's store: /kv-range and /kv-watch. /control puts and removes items, as the operator."""

    def __init__(self, address):
        super().__init__(address)
        self.items, self.revision = {}, 1

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items and "value" in self.items[key] else self.revision
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.items[key] = {"key-file": key, "value": text, "revision": self.revision, "created": created, "lease": 0}

    def serve(self, connection, method, target, fields, body):
        path, _, query = target.partition("?")
        wanted = dict(part.partition("=")[::2] for part in query.split("&") if part)
        with self.lock:
            if path == "/control":
                change = json.loads(body)
                for key, value in change.get("put", {}).items():
                    self.put(key, value)
                for key in change.get("remove", []):
                    self.revision += 1
                    self.items[key] = {"key-file": key, "revision": self.revision, "removed": True}
                self.lock.notify_all()
                return self.answer(connection, 200, {}, {"revision": self.revision})
            prefix = wanted.get("path-prefix", "")
            fitting = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            if path == "/kv-range":
                after = wanted.get("since-rev", "")
                listed = [item for item in fitting if "value" in item and item["key-file"] > after]
                return self.answer(connection, 200, {}, {"items": listed[:500], "more-pages": len(listed) > 500,
                                                         "current-rev": self.revision})
            if path != "/kv-watch":
                return self.answer(connection, 404, {}, {})
            since = int(wanted["since-rev"])
            end = time.monotonic() + int(wanted.get("wait-ms", "0")) / 1000

            def news():
                return sorted((item for key, item in self.items.items()
                               if key.startswith(prefix) and item["revision"] > since),
                              key=lambda item: item["revision"])
            while not news() and time.monotonic() < end:
                self.lock.wait(end - time.monotonic())
            reply = {"events": news(), "current-rev": self.revision}
        return self.answer(connection, 200, {}, reply)


class Replica(Server):
    """A sound replica. Answers 421 to requests for another instance, 400 to those without an id.

    Paths with /draft/ answer with a stream of `events` events, others with a body that names the
    request. /control sets `work_ms`, `gap_ms` and `events`, and lists what has run.
    """

    def __init__(self, address, name):
        super().__init__(address)
        self.name, self.runs = name, []
        self.settings = {"work_ms": 20, "gap_ms": 25, "events": 24}

    def serve(self, connection, method, target, fields, body):
        if target == "/control":
            with self.lock:
                self.settings.update(json.loads(body))
                return self.answer(connection, 200, {}, {"runs": self.runs, **self.settings})
        number = fields.get("Seamarch-Request-Id")
        common = {"Seamarch-Request-Id": number} if number else {}
        if fields.get("Seamarch-Expect-Instance", self.name) != self.name:
            return self.answer(connection, 421, {**common, "Seamarch-Instance-Id": self.name}, b"")
        if target == "/healthz":
            return self.answer(connection, 200, {"Seamarch-Instance-Id": self.name}, b"")
        if not number:
            return self.answer(connection, 400, {"Seamarch-Not-Executed": "1"}, b"")
        with self.lock:
            self.runs.append({"id": number, "target": target, "tenant": fields.get("Seamarch-Tenant"),
                              "after": fields.get("Last-Event-Id"), "at": time.monotonic()})
            settings = dict(self.settings)
        common["Seamarch-Replica-Signature"] = f"proof.{self.name}.{number}"
        time.sleep(settings["work_ms"] / 1000)
        if not target.startswith("/draft/"):
            return self.answer(connection, 200, common, f"{number} at {self.name}".encode())
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value in common.items()), "", ""]
        connection.sendall("\r\n".join(lines).encode())
        for event in range(int(fields.get("Last-Event-Id") or 0) + 1, settings["events"] + 1):
            self.send_chunk(connection, self.event(target, event))
            time.sleep(settings["gap_ms"] / 1000)
        connection.sendall(b"0\r\n\r\n")
        return True

    @staticmethod
    def event(target, number):
        return f"id: {number}\ndata: piece {number} of {target}\n\n".encode()

    @staticmethod
    def send_chunk(connection, piece):
        connection.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))


if __name__ == "__main__":
    server = Store(sys.argv[2]) if sys.argv[1] == "store" else Replica(sys.argv[2], sys.argv[3])
    server.run()
