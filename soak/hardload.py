"""Hard load for the soak: slow callers, and bursts of one account while account priorities change.

Slow callers pause before the end of a large body, or leave a large answer unread. All of them use one
gateway for some seconds, so that it would hold more than its `memory-mb` permits. The seed decides which
gateways run with which of the settings for hard load.
"""

import http.client
import random
import socket
import threading
import time

from localsite import call

MEMORY_MB = 8                            # Half of it may be held for others.
MAX_HELD = MEMORY_MB * 1024 * 1024 // 2
READ_BYTES = 64 * 1024                   # What one read of a connection may hold beyond a pause.
UPLOAD = (b"x" * (1024 * 1024 - 1), b"x")
STAY_S = 3.0                             # How long the slow callers stay with one gateway.
URGENT, PATIENT = 2, 6                   # Priorities of accounts; the lower one goes first.
WAVE = 40                                # Streams of a burst; a gateway starts with room for 12.
WAVE_GAP_S = 0.02
STALL_S = 0.8                            # A gateway may give up an attempt that is silent for a little longer.
QUIET_S = 1.0                            # Time without other faults before and after a burst.
GAP_TARGET_MS = 100                      # Pause between the events of a stream that a gateway aims at.
BURST_DELAY_MS = 150                     # The pause in a burst, so that a gateway admits fewer streams.


def gateway_settings(drawn, agents, plant):
    if plant == "hoards":
        return ["--memory-mb", "1024"]
    settings = (["--memory-mb", str(MEMORY_MB)], ["--demand-exchange", "on", "--agent-port", agents],
                ["--adaptive-room", "on"])
    return [part for setting in settings if drawn.random() < 0.6 for part in setting]


def send(request, gateway, path, parts=(b"body",), upload_pause=0.0, read_pause=0.0):
    """Sends `parts` as the body with a pause before the last one, and pauses before it reads the answer."""
    def slowly():
        for part in parts:
            time.sleep(upload_pause if part is parts[-1] else 0)
            yield part

    host, port = gateway.entry.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=12)
    with request.observed():
        connection.connect()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        connection.request("POST", path, slowly(), request.head(sum(map(len, parts))))
        time.sleep(read_pause)
        request.read(connection)
    connection.close()


class SlowCaller(threading.Thread):
    """Sends one request at a time: most with a slow upload, the others with an answer left unread."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.random = soak, random.Random(f"slow caller {number} of {soak.args.seed}")

    def run(self):
        gateways = list(self.soak.site.gateways.values())
        while not self.soak.over:
            gateway = gateways[int(time.monotonic() / STAY_S) % len(gateways)]
            request = self.soak.new_request(self.random.choice(("letters", "status")), gateway, self.random)
            request.slow = True
            pause = self.random.uniform(0.3, 1.0)
            if self.random.random() < 0.7:
                send(request, gateway, f"/{request.kind}/1", UPLOAD, upload_pause=pause)
            else:
                send(request, gateway, f"/{request.kind}/large", read_pause=pause)
            time.sleep(self.random.uniform(0.05, 0.2))


class Burst:
    """Many streams of the account `crowd` at one gateway, in waves."""

    def __init__(self, soak):
        self.soak, self.random = soak, soak.site.hard_random
        self.gateway = self.random.choice(list(soak.site.gateways.values()))
        self.started, self.ended, self.threads = time.monotonic(), None, []
        self.stalls = []  # (from, to) of upstreams that the machine did not run.

    def watch(self, address):
        while self.ended is None:
            asked = time.monotonic()
            call(address, "/", timeout=12)
            if time.monotonic() - asked > STALL_S:
                self.stalls.append((asked, time.monotonic()))
            time.sleep(0.1)

    def wave(self):
        for _ in range(WAVE):
            request = self.soak.new_request("stream", self.gateway, self.random, "crowd")
            thread = threading.Thread(target=send, args=(request, self.gateway, "/stream/1"), daemon=True)
            self.threads.append(thread)
            thread.start()
            time.sleep(WAVE_GAP_S)

    def join(self):
        for thread in self.threads:
            thread.join(15)
        self.ended = time.monotonic()

    def check(self):
        """Checks a burst without other faults: small requests of the other account are served, and all other
        requests are served or told that they have not run. The soak checks that the latter is true. Excuses
        requests in progress while the machine did not run an upstream."""
        for request in self.soak.requests:
            within = self.started < request.sent_at and (request.ended_at or self.ended) < self.ended + QUIET_S
            excused = any(start < (request.ended_at or end) and end > request.sent_at for start, end in self.stalls)
            if not within or excused or request.disconnects or request.key in self.soak.revoked:
                continue
            small = request.account == "bids" and request.kind != "stream" and not request.slow
            told = request.headers.get("Seamarch-Outcome") == "not-run" and not small
            if request.result != 200 and not told:
                self.soak.fail(f"{request.id} ({request.kind} of {request.account} at {request.gateway}) got "
                               f"{request.result} during a burst")


class HeldMemoryWatch(threading.Thread):
    """Checks all the time that no gateway holds more than its `memory-mb` permits. Slow callers fill a gateway
    only for a fraction of a second at a time."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak = soak

    def run(self):
        allowed = MAX_HELD + self.soak.args.slow_callers * READ_BYTES
        while not self.soak.over:
            for gateway in self.soak.site.gateways.values():
                status = None if gateway.name in self.soak.active_faults else gateway.status()
                if status and status["maxHeldBytes"] > 0 and status["heldBytes"] > allowed:
                    self.soak.fail(f"{gateway.name} holds {status['heldBytes']} bytes; {MAX_HELD} are allowed")
            time.sleep(0.02)
