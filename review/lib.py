"""Stand-ins and helpers that the scripts of the review share. Python's standard library only.

The store and the replica follow PROTOCOL.md. All addresses are loopback addresses. The settings of a
gateway are the file deploy/gateway.conf with its gaps filled as DEPLOY.md describes.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "target", "bin", "seamarchd")
KEY = "n2ctnfzs989anu6wsjnb"
BOUNDS = {"drain-ms": 2000, "grace-s": 8, "config-apply-ms": 2000, "revoke-ms": 5000,
          "retry-budget-ratio": 0.2, "budget-slack": 88}
LIMITS = {"memory-mb": 260, "bandwidth-mbps": 20.0}
_held = []


def free_address():
    """Returns a loopback address; a UDP socket keeps its port from other runs of the review."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind(("127.0.0.1", port))
        except OSError:
            guard.close()
            continue
        _held.append(guard)
        return f"127.0.0.1:{port}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def lookup(scopes, path):
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(to_text(item) for item in value)
    return str(value)


def fill(template, values):
    """Fills the gaps of a template of settings (DEPLOY.md, `Settings of a process`)."""
    def section(match):
        value = lookup([values], match.group(1))
        body = match.group(2)
        if not isinstance(value, (dict, list)):
            return fill(body, values) if value else ""
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        out = []
        for place, (key, entry) in enumerate(entries):
            comma = "" if place + 1 == len(entries) else ","
            out.append(body.replace("{{@}}", str(key)).replace("{{.}}", to_text(entry))
                       .replace("{{,}}", comma))
        return "".join(out)
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda match: to_text(lookup([values], match.group(1))), text)


class Loop:
    """An asyncio loop in a thread of its own, for the stand-ins."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def serve(self, address, handler):
        host, port = split(address)
        return self.run(asyncio.start_server(handler, host, port, limit=1 << 20))


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """Returns the first line and the headers of a message, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    size = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: a list and a watch of items, with one revision counter."""

    def __init__(self, loop):
        self.loop, self.address = loop, free_address()
        self.items, self.revision = {}, 10
        self.changed = None
        self.calls = 0
        loop.run(self._open())

    async def _open(self):
        self.changed = asyncio.Condition()
        host, port = split(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)

    def put(self, key, value):
        """Writes an item. Returns the time of the acknowledgement."""
        return self.loop.run(self._write(key, json.dumps(value).encode()))

    def remove(self, key):
        return self.loop.run(self._write(key, None))

    async def _write(self, key, value):
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items[key] = {"key-file": key, "revision": self.revision, "removed": True}
            else:
                old = self.items.get(key)
                created = self.revision if old is None or "removed" in old else old["created"]
                self.items[key] = {"key-file": key, "value": base64.b64encode(value).decode(),
                                   "revision": self.revision, "created": created, "lease": 0}
            self.changed.notify_all()
        return time.monotonic()

    def _after(self, revision):
        return sorted((item for item in self.items.values() if item["revision"] > revision),
                      key=lambda item: item["revision"])

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                path, _, query = request.target.partition("?")
                arguments = dict(part.partition("=")[::2] for part in query.split("&"))
                if path == "/kv-range":
                    items = [self.items[key] for key in sorted(self.items)
                             if "removed" not in self.items[key]]
                    body = {"items": items, "more-pages": False, "current-rev": self.revision}
                elif path == "/kv-watch":
                    since = int(arguments.get("since-rev") or 0)
                    wait = int(arguments.get("wait-ms") or 0) / 1000
                    async with self.changed:
                        try:
                            await asyncio.wait_for(
                                self.changed.wait_for(lambda: self.revision > since), wait)
                        except asyncio.TimeoutError:
                            pass
                    body = {"events": self._after(since), "current-rev": self.revision}
                else:
                    writer.write(answer_bytes(404, {}))
                    continue
                writer.write(answer_bytes(200, {"Content-Type": "application/json"},
                                          json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def route(name, prefix, kind, service, timeout_ms=8000, **more):
    return {"name": name, "hostname": "site.example", "path-prefix": prefix, "type": kind,
            "service": service, "timeout-ms": timeout_ms, "target-latency-ms": 500, "priority": 1,
            "max-attempts": 2, "public": False, **more}


def config(version, routes, keys=(KEY,)):
    """A configuration with the limits that `fleetbench wire` shows for the small sites."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/healthz", "max-connections": 268,
                          "protocol": "h1", "tls": False}
                         for name in sorted({each["service"] for each in routes})],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "hule930", "api-keys": list(keys), "priority": 1}]}


def entry(service, address, phase="ready", capacity=12, zone="hall-1", sequence=1):
    return {"service": service, "address": address, "zone": zone, "version": "v1",
            "capacity": capacity, "phase": phase, "warmup-left-ms": 0, "sequence": sequence}


class Process:
    """A program of the project with the command of the deploy file."""

    def __init__(self, role, values, log, name):
        self.role, self.name, self.log = role, name, log
        with open(os.path.join(ROOT, "deploy", f"{role}.conf"), encoding="utf-8") as file:
            settings = fill(file.read(), values)
        self.file = tempfile.NamedTemporaryFile("w", suffix=".conf")
        self.file.write(settings)
        self.file.flush()
        self.popen = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SEAMARCH_CONFIG"] = self.file.name
        self.popen = subprocess.Popen([BIN, self.role], cwd=ROOT, env=environment,
                                      stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        return self

    def send(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


class Gateway(Process):
    def __init__(self, store, log, name="edge-hall-1-1", zone="hall-1", peer=None, seeds=None,
                 agent_port=None, limits=None):
        self.entry, self.readiness = free_address(), free_address()
        self.peer = peer or free_address()
        self.metrics = free_address()
        values = {"node-name": name, "zone": zone,
                  "zones": {"hall-1": "region-1", "hall-2": "region-1", "hall-3": "region-1"},
                  "listen": {"frontend": self.entry, "readiness": self.readiness,
                             "control-plane": self.peer},
                  "ip": "127.0.0.1", "platform": {"address": store.address},
                  "seeds": seeds or [self.peer],
                  "port-range": [agent_port or split(free_address())[1]],
                  "bounds": BOUNDS, "limits": limits or LIMITS}
        super().__init__("gateway", values, log, name)
        # The templates fix the port of the metrics; several processes share one address here.
        text = open(self.file.name, encoding="utf-8").read()
        text = re.sub(r"metrics-listen = .*", f"metrics-listen = {self.metrics}", text)
        with open(self.file.name, "w", encoding="utf-8") as file:
            file.write(text)

    def ready(self):
        try:
            with socket.create_connection(split(self.readiness), 1) as connection:
                connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.ready():
                return True
            time.sleep(0.05)
        return False


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start, self.lock = time.monotonic(), threading.Lock()

    def __call__(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.start:9.3f} s  {text}\n")
            self.file.flush()


def request_bytes(method, path, number, body=b"", key=KEY, deadline_ms=8000, **more):
    headers = {"Host": "site.example", "Seamarch-Request-Id": number,
               "Seamarch-Deadline-Ms": str(deadline_ms), "Authorization": f"Token {key}"}
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    if body or method != "GET":
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
