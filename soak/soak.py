#!/usr/bin/env python3
"""Randomized soak test: runs real gateways on loopback and injects faults from outside.

Callers reuse connections until they break. They send requests that must run at most once ("letters"),
repeatable requests ("status") and streams. Faults overlap: links to the store and to upstreams are
delayed, reset, silenced or blocked in one direction; upstreams fail, refuse, send Retry-After, lose
answers and break streams; gateways are stopped, paused, killed and restarted; configurations change,
keys are revoked, upstreams leave and restart under the same id, and the store reverts to an older copy.
One upstream at a time announces a rate limit for all gateways together, and one warms up. A hall is drained and
then restored. Some callers are slow, an account sends bursts, and account priorities change (hardload.py).
Lists of the store have short pages, which fail now and then and hold other writers' keys, and many gateways are
killed at the same moment (storefaults.py). Some callers send several requests at once and close their sending
direction (pipelines.py). The checks use only what callers and upstreams observed. A seed determines the faults;
the timing between them depends on the machine. The system has no persistent storage and does not use the time
of day, so the soak injects no disk or clock faults.

    soak/soak.py --seed 7 --seconds 20       one run
    soak/soak.py --seeds 100-149             a series
    soak/soak.py --regression                all seeds that ever failed (soak/seeds.txt)
    soak/soak.py --planted                   checks that each planted fault is detected

The soak kills only the processes that it started.
"""

import argparse
import contextlib
import http.client
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "scripts")]
from localsite import BIN, Process, call, control, free_address  # noqa: E402
import hardload  # noqa: E402
import pipelines  # noqa: E402
import storefaults  # noqa: E402
from proxy import Proxy, ProxyLoop  # noqa: E402

NOT_RUN = {408, 421, 429, 503}  # Statuses that guarantee that the request does not run.
REVOCATION_DEADLINE_S = 5.0     # Time after which every gateway rejects a revoked key.
LEAVE_DEADLINE_S = 2.0          # Time after which a leaving upstream gets no new requests.
RETRY_AFTER_S = 1.5             # Value of the Retry-After header that upstreams send.
IN_FLIGHT_S = 0.5               # Part of it in which requests already in flight may arrive.
MAX_LATE_REQUESTS = 2           # Requests that may arrive in the remaining time.
LIMITS = (0.5, 1, 3)            # Requests per second that an upstream accepts from all gateways together.
LIMIT_WINDOW_S = 4.0            # Window in which the check counts requests.
LIMIT_SETTLE_TIME_S = 3.0       # Time from the announcement of a limit until the check applies.
LIMIT_SLACK = 5                 # Requests allowed beyond 1.5 times the limit.
WARM_UP_RATE = 1.0              # Requests per second that an upstream accepts while it warms up.
WARM_UP_MS = 60_000             # Longer than a run.
MAX_ATTEMPTS = 2                # Upstreams that one request may run on, as the routes state.
RETRY_RATIO = 0.2               # Retries that each request adds to the budget of all gateways together.
RETRY_SLACK = 12.0              # Retries allowed in addition in each window.
RETRY_WINDOW_S = 10.0           # Window in which the check counts retries.
PLANTED = {"lies": 1, "twice": 1, "skip": 1, "deaf": 1, "unbound": 1, "warm": 1, "undrained": 1,
           "hoards": 1, "endless": 1, "flood": 1}  # Seed by fault.
STREAM = [f"id: {n}\ndata: token {n}" for n in range(1, 11)]
LINK_MODES = ("delay", "reset", "silent", "one_way")
UPSTREAM_TROUBLES = ({"fail": True}, {"full": True}, {"dropAnswers": True}, {"foreignId": True},
                     {"breakAfter": 4}, {"delayMs": 300}, {"full": True, "rest": str(RETRY_AFTER_S)})
HEALTHY = {"fail": False, "full": False, "dropAnswers": False, "foreignId": False,
           "breakAfter": 0, "delayMs": 5, "lies": False, "rest": ""}


class Site:
    """The store, upstreams and gateways of a run, with a proxy on each link that can fail."""

    def __init__(self, args, log):
        self.log, self.processes, self.loop = log, [], ProxyLoop()
        self.version, self.keys = 0, ["key-0"]
        self.priorities = {"bids": hardload.URGENT, "crowd": hardload.PATIENT}
        self.hard_random = random.Random(f"hard load of {args.seed}")  # Separate, so that seeds keep their faults.
        self.store_random = random.Random(f"store of {args.seed}")  # Separate for the same reason.
        self.store = free_address()
        self.start("seamarch-standin", "store", "--listen", self.store)
        control(self.store, storefaults.short_pages(self.store_random))
        self.upstreams, self.links, self.starts = {}, {}, {}
        self.warming, self.plant = set(), args.plant
        for number in range(args.upstreams):
            name, address = f"i-{number}", free_address()
            self.start("seamarch-standin", "replica", "--listen", address)
            self.upstreams[name] = address
            self.links[name] = Proxy(self.loop, free_address(), address, args.plant)
            control(address, {"id": name, **HEALTHY, "lies": args.plant == "lies"})
        self.publish()
        for name in self.upstreams:
            self.list_upstream(name)
        peers = {f"g-{number}": free_address() for number in range(args.gateways)}
        seeds = ",".join(list(peers.values())[:2])
        self.gateways = {}
        for name, peer in peers.items():
            self.links[name] = Proxy(self.loop, free_address(), self.store, "flood" if args.plant == "flood" else "")
            self.gateways[name] = Gateway(self, name, peer, seeds, self.links[name].address)
        for gateway in self.gateways.values():
            gateway.start()

    def start(self, program, *arguments):
        process = Process([os.path.join(BIN, program), *arguments], self.log)
        self.processes.append(process)
        return process

    def publish(self):
        self.version += 1
        routes = [{"name": name, "hostname": "site.example", "path-prefix": f"/{name}/",
                   "type": kind, "service": "portal", "timeout-ms": 4000, "max-attempts": MAX_ATTEMPTS,
                   "stream-resume": True, "target-gap-ms": hardload.GAP_TARGET_MS}
                  for name, kind in (("letters", "unsafe"), ("status", "safe"),
                                     ("stream", "streaming"))]
        document = {"version": self.version, "routes": routes,
                    "tenants": [{"name": name, "api-keys": keys, "priority": self.priorities[name]}
                                for name, keys in (("bids", list(self.keys)), ("crowd", ["key-crowd"]))],
                    "services": [{"name": "portal", "max-connections": 200, "warmup-s": 3.0,
                                  "warmup-per-s": WARM_UP_RATE}]}
        control(self.store, {"put": {"op/config": document}})

    def swap_priorities(self):
        self.priorities = dict(zip(self.priorities, reversed(self.priorities.values())))
        self.publish()

    def list_upstream(self, name, phase="ready"):
        entry = {"service": "portal", "address": self.links[name].address, "zone": self.hall_of(name),
                 "capacity": 6, "phase": phase, "born": self.starts.setdefault(name, 1),
                 "warmup-left-ms": WARM_UP_MS if name in self.warming and self.plant != "warm" else 0}
        control(self.store, {"put": {f"servers/{name}": entry}})

    @staticmethod
    def hall_of(name):
        return "south" if int(name[2:]) % 3 == 2 else "north"

    def runs(self, name):
        return control(self.upstreams[name], {})["runs"]

    def end(self):
        for process in self.processes:
            process.end()
        self.loop.end()


class Gateway:
    def __init__(self, site, name, peer, seeds, store):
        self.site, self.name = site, name
        self.entry, self.operators = free_address(), free_address()
        hall = "north" if int(name[2:]) % 2 == 0 else "south"
        self.arguments = ["gateway", "--instance", name, "--hall", hall, "--listen", self.entry,
                          "--operator-listen", self.operators, "--platform", store,
                          "--peer-listen", peer, "--seeds", seeds, "--stop-delay-ms", "600",
                          "--stop-deadline-ms", "5000", "--log-level", "info",
                          "--retry-ratio", str(RETRY_RATIO), "--retry-slack", str(RETRY_SLACK)]
        agents = free_address().split(":")[1]
        self.arguments += hardload.gateway_settings(site.hard_random, agents, site.plant)
        self.process, self.incarnation, self.stopping = None, 0, False

    def start(self):
        self.process = self.site.start("seamarchd", *self.arguments)
        self.incarnation, self.stopping = self.incarnation + 1, False

    def status(self):
        code, _, text = call(self.operators, "/status", timeout=1)
        return json.loads(text) if code == 200 else None


class Request:
    def __init__(self, number, kind, key, gateway, account):
        self.id, self.kind, self.key, self.account = number, kind, key, account
        self.gateway, self.incarnation = gateway.name, gateway.incarnation
        self.sent_at = time.monotonic()
        self.result, self.text, self.headers = None, "", {}
        self.ended_at, self.kept, self.disconnects, self.slow = None, False, False, False
        self.pipelined = False

    def head(self, size):
        return {"Host": "site.example", "Seamarch-Request-Id": self.id, "Seamarch-Deadline-Ms": "4000",
                "Authorization": f"Token {self.key}", "Content-Length": str(size)}

    def read(self, connection):
        """Reads the answer, and returns whether the connection can be used again."""
        answer = connection.getresponse()
        self.headers = dict(answer.getheaders())
        self.text = answer.read().decode()
        self.result = answer.status
        return not answer.will_close

    @contextlib.contextmanager
    def observed(self):
        """Records how a request ends that breaks off."""
        try:
            yield
        except http.client.IncompleteRead as error:
            self.result, self.text = "cut", error.partial.decode(errors="replace")
        except (OSError, http.client.HTTPException) as error:
            self.result = f"broken: {type(error).__name__}"
        finally:
            self.ended_at = time.monotonic()


class Caller(threading.Thread):
    """A client that sends requests one at a time and reuses its connection while it is open."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.random = soak, random.Random(f"{soak.args.seed}/{number}")

    def run(self):
        while not self.soak.over:
            gateway = self.random.choice(list(self.soak.site.gateways.values()))
            connection = http.client.HTTPConnection(*gateway.entry.split(":"), timeout=6)
            for turn in range(self.random.randint(1, 12)):
                if self.soak.over or not self.ask(connection, gateway, turn > 0):
                    break
                time.sleep(self.random.uniform(0, 0.05))
            connection.close()
            time.sleep(0.01)

    def ask(self, connection, gateway, kept):
        kind = self.random.choice(("letters", "letters", "status", "stream"))
        request = self.soak.new_request(kind, gateway, self.random)
        request.kept = kept
        request.disconnects = self.random.random() < 0.03
        with request.observed():
            connection.request("POST", f"/{kind}/1", b"body", request.head(4))
            if request.disconnects:
                request.result = "left"
                return False
            return request.read(connection)
        return False


class Soak:
    def __init__(self, args, log):
        self.args, self.random = args, random.Random(args.seed)
        self.site = Site(args, log)
        self.over, self.faults, self.lock = False, 0, threading.Lock()
        self.requests, self.numbers = [], itertools.count(1)
        self.revoked = {}  # Key to the time after which it must be rejected.
        self.failures, self.versions = [], {}
        self.planned = []  # (gateway, incarnation, from, to) of each planned stop without other faults.
        self.limited, self.limits = None, []  # The upstream with a rate limit; [name, limit, from, to].
        self.limit_random = random.Random(f"limits of {args.seed}")  # Separate, so that seeds keep their faults.
        self.warm_ups = []  # [name, since, until]
        self.bursts = []
        self.active_faults = {}  # (end time, undo function) by the name of the affected process.
        self.disturbances = []  # (name, from, to) of faults that may delay a gateway's reaction.
        self.store_faults = storefaults.StoreFaults(self)

    def new_request(self, kind, gateway, drawn, account="bids"):
        with self.lock:
            old = [key for key in self.revoked if drawn.random() < 0.3]
            key = drawn.choice(old) if old and drawn.random() < 0.1 else self.site.keys[-1]
            key = key if account == "bids" else f"key-{account}"
            number = f"q-{self.args.seed}-{next(self.numbers)}"
            request = Request(number, kind, key, gateway, account)
            self.requests.append(request)
            return request

    def fail(self, what):
        self.failures.append(what)

    # Faults. Each affects one process or link for a limited time. Several may be active at once.

    def fault_link(self, name):
        mode = self.random.choice(LINK_MODES)
        self.site.links[name].set(mode)
        return self.record_disturbance(name, lambda: self.site.links[name].set("pass"))

    def record_disturbance(self, name, undo):
        """Returns a function that calls `undo` and records how long the fault affected `name`."""
        started = time.monotonic()

        def undo_and_note():
            undo()
            self.disturbances.append((name, started, time.monotonic()))
        return undo_and_note

    def fault_upstream(self, name):
        address = self.site.upstreams[name]
        control(address, self.random.choice(UPSTREAM_TROUBLES))
        return lambda: control(address, HEALTHY)

    def fault_pause(self, name):
        gateway = self.site.gateways[name]
        gateway.process.send(signal.SIGSTOP)
        return self.record_disturbance(name, lambda: gateway.process.send(signal.SIGCONT))

    def fault_kill(self, name):
        gateway = self.site.gateways[name]
        gateway.process.send(signal.SIGKILL)
        gateway.process.wait(5)
        return gateway.start

    def fault_stop(self, name):
        gateway = self.site.gateways[name]
        gateway.stopping = True
        # Before a process has installed its handlers, SIGTERM kills it by default.
        expected = {0} if gateway.status() is not None else {0, -signal.SIGTERM}
        gateway.process.send(signal.SIGTERM)

        def again():
            status = gateway.process.wait(8)
            if status not in expected:
                self.fail(f"{name} ended with {status} after SIGTERM; expected 0 within 8 s")
                gateway.process.end()
            gateway.start()
        return again

    def fault_store(self, _):
        trouble = self.random.choice(("silent", "busy", "goBack"))
        if trouble == "goBack":
            control(self.site.store, {"copy": True})
            return self.go_back
        control(self.site.store, {trouble: True})
        return self.record_disturbance("store", lambda: control(self.site.store, {trouble: False}))

    def go_back(self):
        """Reverts the store to its copy; the operator and the upstreams then write their entries again."""
        with self.lock:
            control(self.site.store, {"goBack": True})
            self.site.publish()
            for name in self.site.upstreams:
                self.site.list_upstream(name)

    def inject_fault(self):
        gateways, upstreams = list(self.site.gateways), list(self.site.upstreams)
        kinds = [(self.fault_link, gateways + upstreams), (self.fault_upstream, upstreams),
                 (self.fault_pause, gateways), (self.fault_kill, gateways),
                 (self.fault_stop, gateways), (self.fault_store, ["store"])]
        fault, things = self.random.choice(kinds)
        name = self.random.choice(things)
        length = self.random.uniform(0.3, 4.0)
        if name in self.active_faults or len(self.active_faults) >= self.args.overlap:
            return
        self.faults += 1
        self.active_faults[name] = (time.monotonic() + length, fault(name))

    def end_faults(self, everything=False):
        if everything:
            self.store_faults.end_spell()
        for name, (until, undo) in list(self.active_faults.items()):
            if everything or time.monotonic() >= until:
                undo()
                del self.active_faults[name]

    def change(self):
        """Publishes a new configuration and revokes a key in 30 % of the calls."""
        with self.lock:
            if self.random.random() < 0.3:
                self.site.keys.append(f"key-{self.site.version}")
                gone = self.site.keys.pop(0)
            else:
                gone = None
            self.site.publish()
            if gone is not None:
                self.revoked[gone] = time.monotonic() + REVOCATION_DEADLINE_S

    def unlimited(self):
        names = list(self.site.upstreams)
        name = self.random.choice(names)
        return name if name != self.limited else names[names.index(name) - 1]

    def check_leaving(self):
        """Checks that a leaving upstream gets no new requests while no other fault is active."""
        self.end_faults(everything=True)
        self.wait_ready()
        name = self.unlimited()
        self.site.list_upstream(name, "draining")
        time.sleep(LEAVE_DEADLINE_S)
        before = {run["id"] for run in self.site.runs(name)}
        started = time.monotonic()
        time.sleep(0.7)
        late = [run["id"] for run in self.site.runs(name) if run["id"] not in before]
        sent = {request.id: request.sent_at for request in list(self.requests)}
        for number in late:
            if sent.get(number, 0) > started:
                self.fail(f"{number} reached {name} more than {LEAVE_DEADLINE_S} s after it began to leave")
        self.site.starts[name] += 1
        self.site.list_upstream(name)

    def move_limit(self):
        """Moves the rate limit from the upstream that announces one to another upstream."""
        names = [name for name in self.site.upstreams if name != self.limited]
        if self.limited is not None:
            control(self.site.upstreams[self.limited], {"limit": ""})
            self.limits[-1][3] = time.monotonic()
        self.limited = self.limit_random.choice(names)
        limit = self.limit_random.choice(LIMITS)
        control(self.site.upstreams[self.limited], {"limit": str(limit)})
        self.limits.append([self.limited, limit, time.monotonic(), float("inf")])

    def warm_up(self):
        """Starts the warm-up of one upstream and ends that of the previous one."""
        with self.lock:
            for name in list(self.site.warming):
                self.site.warming.discard(name)
                self.warm_ups[-1][2] = time.monotonic()  # Gateways may see the entry before the call returns.
                self.site.list_upstream(name)
            name = self.limit_random.choice([each for each in self.site.upstreams if each != self.limited])
            self.site.warming.add(name)
            self.site.list_upstream(name)
            self.warm_ups.append([name, time.monotonic(), float("inf")])

    def drain_hall(self):
        """Checks that a drained hall gets no new requests while no other fault is active; then restores it."""
        self.end_faults(everything=True)
        self.wait_ready()
        if self.args.plant != "undrained":
            control(self.site.store, {"put": {"op/evacuate/south": {}}})
        time.sleep(LEAVE_DEADLINE_S)
        started = time.monotonic()
        time.sleep(0.7)
        # Read before the hall is restored: a request that waits for a slot may go there afterwards.
        runs = {name: self.site.runs(name) for name in self.site.upstreams}
        control(self.site.store, {"remove": ["op/evacuate/south"]})
        sent = {request.id: request.sent_at for request in list(self.requests)}
        for name in self.site.upstreams:
            late = [run["id"] for run in runs[name]
                    if self.site.hall_of(name) == "south" and started < sent.get(run["id"], 0) < started + 0.7]
            if late:
                self.fail(f"{late[0]} and {len(late) - 1} more reached {name} more than {LEAVE_DEADLINE_S} s after "
                          "its hall was drained")

    def shed(self):
        """Has one upstream refuse all requests with Retry-After while no other fault is active."""
        self.end_faults(everything=True)
        self.wait_ready()
        time.sleep(1.0)  # What faults had begun is over.
        address = self.site.upstreams[self.unlimited()]
        control(address, {"full": True, "rest": str(RETRY_AFTER_S)})
        time.sleep(RETRY_AFTER_S + 0.5)
        control(address, HEALTHY)

    def burst_without_faults(self):
        """Changes the account priorities while requests of a burst wait, and no other fault is active."""
        self.end_faults(everything=True)
        self.wait_ready()
        time.sleep(hardload.QUIET_S)  # What faults had begun is over.
        for address in self.site.upstreams.values():
            control(address, {"delayMs": hardload.BURST_DELAY_MS})
        self.bursts.append(hardload.Burst(self))
        for address in self.site.upstreams.values():
            threading.Thread(target=self.bursts[-1].watch, args=(address,), daemon=True).start()
        for _ in range(3):
            self.bursts[-1].wave()
            with self.lock:
                self.site.swap_priorities()
        self.bursts[-1].join()
        for address in self.site.upstreams.values():
            control(address, HEALTHY)

    def stop_without_faults(self):
        """Stops a gateway while no other fault is active; check_request() then finds dropped requests."""
        self.end_faults(everything=True)
        self.wait_ready()
        gateway = self.random.choice(list(self.site.gateways.values()))
        time.sleep(1.0)  # What faults had begun is over.
        pipelines.start_wave(self, gateway)
        name, incarnation, begin = gateway.name, gateway.incarnation, time.monotonic()
        self.fault_stop(name)()
        self.planned.append((name, incarnation, begin, time.monotonic()))

    def watch_gateways(self):
        """Checks that no incarnation's configuration version decreases and no process exits by itself."""
        for gateway in self.site.gateways.values():
            if gateway.name in self.active_faults:
                continue
            if gateway.process.popen.poll() is not None:
                self.fail(f"{gateway.name} exited by itself with status {gateway.process.popen.returncode}")
                gateway.start()
                continue
            incarnation, status = gateway.incarnation, gateway.status()
            if status is None or incarnation != gateway.incarnation:
                continue
            held = self.versions.get((gateway.name, incarnation), 0)
            if status["configVersion"] < held:
                self.fail(f"{gateway.name} reverted from configuration version {held}")
            self.versions[gateway.name, incarnation] = max(held, status["configVersion"])

    def wait_ready(self, seconds=12, event="all faults ended"):
        end = time.monotonic() + seconds
        for gateway in self.site.gateways.values():
            while call(gateway.operators, "/readyz", timeout=1)[0] != 200:
                if time.monotonic() > end:
                    self.fail(f"{gateway.name} is not ready {seconds} s after {event}")
                    return
                time.sleep(0.05)

    def run(self):
        self.wait_ready()
        callers = [Caller(self, number) for number in range(self.args.callers)]
        callers += [hardload.SlowCaller(self, number) for number in range(self.args.slow_callers)]
        callers += [pipelines.PipeliningCaller(self, number) for number in range(self.args.pipelining_callers)]
        for thread in callers + [hardload.HeldMemoryWatch(self), storefaults.CallWatch(self)]:
            thread.start()
        end = time.monotonic() + self.args.seconds
        leave_at = time.monotonic() + self.args.seconds / 2
        self.move_limit()
        self.warm_up()
        while time.monotonic() < end:
            self.inject_fault()
            self.end_faults()
            self.store_faults.step()
            if self.random.random() < 0.08:
                self.change()
            if self.site.hard_random.random() < 0.03:
                hardload.Burst(self).wave()
                with self.lock:
                    self.site.swap_priorities()
            self.watch_gateways()
            if time.monotonic() > leave_at:
                leave_at = end
                self.check_leaving()
                self.shed()
                self.burst_without_faults()
                self.stop_without_faults()
                self.drain_hall()
                self.move_limit()
                self.warm_up()
            time.sleep(self.random.uniform(0.05, 0.25))
        self.store_faults.kill_many()
        self.wait_ready()
        self.over = True
        for caller in callers:
            caller.join(15)
        time.sleep(0.5)  # Lets upstreams record requests that run late.
        self.check()

    # Checks of what callers and upstreams observed.

    def check(self):
        runs = {}
        for name in self.site.upstreams:
            for run in self.site.runs(name):
                runs.setdefault(run["id"], []).append(run)
        known = {request.id: request for request in self.requests}
        for number in runs:
            if number not in known:
                self.fail(f"an upstream ran {number}, which no caller sent")
        for request in self.requests:
            self.check_request(request, runs.get(request.id, []))
        for name in self.site.upstreams:
            self.check_retry_after(name, known)
        self.check_retries()
        for named in self.limits:
            self.check_limit(*named, known)
        for warm_up in self.warm_ups:
            self.check_warm_up(*warm_up, known)
        for burst in self.bursts:
            burst.check()
        served = sum(request.result == 200 for request in self.requests)
        if served < len(self.requests) / 10:
            self.fail(f"only {served} of {len(self.requests)} requests were served")
        self.served = served

    def check_retry_after(self, name, known):
        """Checks that each gateway observed the Retry-After times of upstream `name`, except during
        disturbances."""
        state = control(self.site.upstreams[name], {})
        offset = time.monotonic() - state["nowMs"] / 1000
        by_incarnation = {}
        for arrival in state["arrivals"]:
            request = known.get(arrival["id"])
            if request is not None:
                at = arrival["ms"] / 1000 + offset
                by_incarnation.setdefault((request.gateway, request.incarnation), []).append((at, arrival["rest"]))
        for (gateway, _), arrivals in by_incarnation.items():
            for asked, rest in arrivals:
                until = asked + float(rest or 0)
                late = [at for at, _ in arrivals if asked + IN_FLIGHT_S < at < until]
                excused = any(held in (name, gateway) and start < until and end > asked - 1
                              for held, start, end in self.disturbances)
                if len(late) > MAX_LATE_REQUESTS and not excused:
                    self.fail(f"{name} sent {gateway} a Retry-After of {rest} s and got {len(late)} requests")

    def check_retries(self):
        """Checks that the retries of all gateways together stay within the budget in every window. A retry is
        an arrival of a request that has arrived at an upstream before, whether it is refused or not."""
        arrivals = []
        for address in self.site.upstreams.values():
            state = control(address, {})
            offset = time.monotonic() - state["nowMs"] / 1000
            arrivals += [(arrival["ms"] / 1000 + offset, arrival["id"]) for arrival in state["arrivals"]]
        seen, retries = set(), []
        for at, number in sorted(arrivals):
            retries += [at] if number in seen else []
            seen.add(number)
        sent = [request.sent_at for request in self.requests]

        def sent_between(begin, end):
            return sum(begin < at <= end for at in sent)

        for end in retries:
            found = sum(end - RETRY_WINDOW_S < at <= end for at in retries)
            most = max(sent_between(end - back - RETRY_WINDOW_S, end - back)
                       for back in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            if found > RETRY_RATIO * most + RETRY_SLACK:
                self.fail(f"upstreams got {found} retries in {RETRY_WINDOW_S:.0f} s, in which {most} requests were "
                          f"sent; {RETRY_RATIO * most + RETRY_SLACK:.0f} are allowed")
                return

    def check_limit(self, name, limit, since, until, known):
        """Checks that the gateways which received the rate limit of upstream `name` together stay within it,
        except during disturbances."""
        state = control(self.site.upstreams[name], {})
        offset = time.monotonic() - state["nowMs"] / 1000
        binding_since, counted = {}, []
        for arrival in state["arrivals"]:
            request, at = known.get(arrival["id"]), arrival["ms"] / 1000 + offset
            if request is None or not since < at < until:
                continue
            sender = (request.gateway, request.incarnation)
            binding_since.setdefault(sender, at + 2 * IN_FLIGHT_S)
            excused = any(held in (name, request.gateway) and start < at and end > at - LIMIT_WINDOW_S
                          for held, start, end in self.disturbances)
            if at > binding_since[sender] and not excused:
                counted.append(at)
        allowed = 1.5 * limit * LIMIT_WINDOW_S + LIMIT_SLACK
        for end in counted:
            found = sum(end - LIMIT_WINDOW_S < at <= end for at in counted)
            if end > since + LIMIT_SETTLE_TIME_S and found > allowed:
                self.fail(f"{name} announced a limit of {limit} requests/s and got {found} requests in 4 s")
                return

    def check_warm_up(self, name, since, until, known):
        """Checks that all gateways together stay within the warm-up rate of upstream `name`, except during
        disturbances."""
        state = control(self.site.upstreams[name], {})
        offset = time.monotonic() - state["nowMs"] / 1000
        counted = []
        for arrival in state["arrivals"]:
            request, at = known.get(arrival["id"]), arrival["ms"] / 1000 + offset
            if request is None or not since + LEAVE_DEADLINE_S < at < until:
                continue
            excused = any(held in (name, request.gateway, "store") and start < at and end > at - LEAVE_DEADLINE_S
                          for held, start, end in self.disturbances)
            if not excused:
                counted.append(at)
        allowed = 1.5 * WARM_UP_RATE + LIMIT_SLACK
        for end in counted:
            found = sum(end - 1.0 < at <= end for at in counted)
            if found > allowed:
                self.fail(f"{name} got {found} requests in one second during its warm-up; {allowed} are allowed")
                return

    def check_request(self, request, runs):
        about = f"{request.id} ({request.kind} at {request.gateway}, {request.result})"
        if request.kind == "letters" and len(runs) > 1:
            self.fail(f"{about} ran {len(runs)} times")
        if len(runs) > MAX_ATTEMPTS:
            self.fail(f"{about} ran on {len(runs)} upstreams; its route allows {MAX_ATTEMPTS}")
        if request.kind == "letters" and request.result in NOT_RUN and runs:
            self.fail(f"{about} ran, but its answer says that it did not")
        if request.headers.get("Seamarch-Outcome") == "not-run" and runs:
            self.fail(f"{about} ran, but its outcome is 'not-run'")
        dead_at = self.revoked.get(request.key)
        if dead_at is not None and request.sent_at > dead_at and runs:
            self.fail(f"{about} ran with a key revoked at least {REVOCATION_DEADLINE_S} s earlier")
        if any(run["key"] or run["account"] != request.account for run in runs):
            self.fail(f"{about} ran under another account, or its key reached the upstream")
        lost = str(request.result).startswith(("broken", "cut")) and not request.disconnects
        if lost and runs and self.in_planned_stop(request):
            self.fail(f"{about} was forwarded and then dropped by a planned stop")
        if request.pipelined:
            pipelines.check_stop(self, request, bool(runs))
        if request.result == 200:
            self.check_success(request, about)
        elif request.result == "cut" and request.kind == "stream":
            events = request.text.split("\n\n")[:-1]
            if events != STREAM[:len(events)]:
                self.fail(f"{about} has a gap before it broke off: {request.text!r}")

    def in_planned_stop(self, request):
        return any((request.gateway, request.incarnation) == (name, incarnation) and request.sent_at > at
                   for name, incarnation, at, _ in self.planned)

    def check_success(self, request, about):
        if not request.headers.get("Seamarch-Replica-Signature", "").startswith("proof-of-"):
            self.fail(f"{about} lacks the upstream's signature")
        if request.headers.get("Seamarch-Request-Id") != request.id:
            self.fail(f"{about} has the answer to request {request.headers.get('Seamarch-Request-Id')}")
        if request.kind == "stream" and request.text.split("\n\n")[:-1] != STREAM:
            self.fail(f"{about} is an incomplete stream: {request.text!r}")


def run_seed(args, seed, seconds=None, plant=""):
    """Runs the soak with one seed, prints a summary and returns the number of failed checks."""
    args = argparse.Namespace(**{**vars(args), "seed": seed, "plant": plant,
                                 "seconds": seconds or args.seconds})
    with tempfile.NamedTemporaryFile("w+", suffix=f".soak-{seed}.log", delete=False) as log:
        soak = Soak(args, log)
        try:
            soak.run()
        finally:
            soak.site.end()
    kept = bool(soak.failures) and not plant
    if not kept:
        os.unlink(log.name)
    print(f"seed {seed}{' planted ' + plant if plant else ''}: {len(soak.requests)} requests, "
          f"{soak.served} served, {soak.faults} faults, {len(soak.failures)} promises broken"
          + (f"; log in {log.name}" if kept else ""), flush=True)
    for failure in soak.failures[:10 if not plant else 1]:
        print(f"    {failure}", flush=True)
    return len(soak.failures)


def regression_seeds():
    with open(os.path.join(HERE, "seeds.txt"), encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]


def main():
    # On SIGTERM, exits through the finally blocks so that the run kills the processes it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="FIRST-LAST")
    parser.add_argument("--regression", action="store_true")
    parser.add_argument("--planted", action="store_true")
    parser.add_argument("--plant", default="", help="one planted fault, with --seed")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=5)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--slow-callers", type=int, default=12)
    parser.add_argument("--pipelining-callers", type=int, default=4)
    parser.add_argument("--overlap", type=int, default=5, help="faults at one time")
    args = parser.parse_args()
    if args.planted:
        missed = [plant for plant, seed in PLANTED.items() if run_seed(args, seed, 8, plant) == 0]
        print(f"planted faults missed: {', '.join(missed) or 'none'}")
        sys.exit(1 if missed else 0)
    seeds = regression_seeds() if args.regression else []
    if args.seeds:
        first, last = args.seeds.split("-")
        seeds += range(int(first), int(last) + 1)
    if args.seed is not None or not seeds:
        seeds.append(args.seed if args.seed is not None else int(time.time()))
    broken = [seed for seed in seeds if run_seed(args, seed, plant=args.plant) > 0]
    print(f"{len(seeds)} seeds, {len(broken)} with a promise broken {broken or ''}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
