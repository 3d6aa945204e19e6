"""Faults of the store for the soak: short pages, keys of other writers, lists that fail, a lost history, and
many gateways that are killed at the same moment, so that only the store can tell them the configuration.

A generator of its own draws them, so that older seeds keep their other faults.
"""

import json
import math
import signal
import threading
import time

from localsite import control

RECOVERY_S = 12               # Time within which killed gateways are ready again.
READS_PER_S = 2000 // 18      # Reading calls of one gateway: the store bears 2,000 from 18 machines.
PAGE_ITEMS = (2, 8)
MAX_FOREIGN_KEYS = 24
PLACES = ("", "op/", "p/", "servers/", "zz/")  # Before, among, between and after what gateways read.
ODD_TEXTS = ("%", "%25", "%C3%A9", "&b=", "&", "=", "+", " ", "é", "界", "\r\n", "#")
VALUES = ("", "x" * 100, "x" * 100_000, json.dumps({"service": "portal"}), json.dumps(["x" * 1000] * 50), "[" * 5000)
FAILURES = ("refused", "unanswered", "cut off", "unreadable")
SOUND = {"failEvery": 0, "noHistory": False}


def short_pages(drawn):
    return {"pageItems": drawn.randint(*PAGE_ITEMS)}


class StoreFaults:
    def __init__(self, soak):
        self.soak, self.random = soak, soak.site.store_random
        self.keys, self.spell = [], None  # The spell is (end time, undo function).
        self.followers_next = self.random.random() < 0.5
        self.kill_at = time.monotonic() + self.random.uniform(1.5, 5.0)
        for _ in range(MAX_FOREIGN_KEYS // 2):
            self.write()

    def step(self):
        if self.random.random() < 0.3:
            self.write()
        if self.spell is None and self.random.random() < 0.1:
            self.begin_spell()
        elif self.spell is not None and time.monotonic() >= self.spell[0]:
            self.end_spell()
        if time.monotonic() >= self.kill_at:
            self.kill_many()
            self.kill_at = time.monotonic() + self.random.uniform(8.0, 16.0)

    def write(self):
        """Has another writer add, change or remove a key."""
        if len(self.keys) >= MAX_FOREIGN_KEYS or (self.keys and self.random.random() < 0.2):
            key = self.keys.pop(self.random.randrange(len(self.keys)))
            control(self.soak.site.store, {"remove": [key]})
            return
        if self.keys and self.random.random() < 0.3:
            key = self.random.choice(self.keys)
        else:
            odd = "".join(self.random.choices(ODD_TEXTS, k=self.random.randint(1, 3)))
            key = f"{self.random.choice(PLACES)}a{self.random.randrange(100)}{odd}"
        self.keys += [] if key in self.keys else [key]
        control(self.soak.site.store, {"putText": {key: self.random.choice(VALUES)}})

    def begin_spell(self):
        failing = {"failEvery": self.random.randint(2, 5), "failure": self.random.choice(FAILURES)}
        trouble = failing if self.random.random() < 0.7 else {"noHistory": True}
        control(self.soak.site.store, trouble)
        undo = self.soak.record_disturbance("store", lambda: control(self.soak.site.store, SOUND))
        self.spell = (time.monotonic() + self.random.uniform(0.3, 4.0), undo)
        self.soak.faults += 1

    def end_spell(self):
        if self.spell is not None:
            self.spell[1]()
            self.spell = None

    def kill_many(self):
        """Kills all gateways, or all that follow the store, in turns, and checks that all are ready in time once
        they are back and the store is sound. A spell that has begun lasts on."""
        spell, self.spell = self.spell, None
        self.soak.end_faults(everything=True)
        gateways = list(self.soak.site.gateways.values())
        if self.followers_next:
            gateways = [each for each in gateways if (each.status() or {}).get("followsStore")] or gateways
        whom = "those that follow the store" if self.followers_next else "all gateways"
        self.followers_next = not self.followers_next
        control(self.soak.site.store, {"repeatPage": self.soak.args.plant == "endless"})
        for gateway in gateways:
            gateway.process.send(signal.SIGKILL)
        for gateway in gateways:
            gateway.process.wait(5)
        time.sleep(self.random.uniform(0, 0.5))
        for gateway in gateways:
            gateway.start()
        self.soak.faults += 1
        if spell is not None:
            time.sleep(max(0.0, spell[0] - time.monotonic()))
            spell[1]()
        self.soak.wait_ready(RECOVERY_S, f"{whom} were killed and are back")
        control(self.soak.site.store, {"repeatPage": False})


class CallWatch(threading.Thread):
    """Checks all the time that no gateway calls the store more often than its share of what the store bears."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak = soak

    def run(self):
        links = {name: self.soak.site.links[name] for name in self.soak.site.gateways}
        samples = {name: [(time.monotonic(), 0)] for name in links}
        while not self.soak.over:
            for name, link in links.items():
                self.sample(name, samples[name], link.requests)
            time.sleep(0.02)

    def sample(self, name, samples, requests):
        now = time.monotonic()
        while len(samples) > 1 and now - samples[0][0] > 1.0:
            samples.pop(0)
        since, before = samples[0]
        # Of several seconds, one has at least their mean.
        if requests - before > READS_PER_S * math.ceil(now - since):
            self.soak.fail(f"{name} called the store {requests - before} times in {now - since:.2f} s; "
                           f"{READS_PER_S} a second are allowed")
            samples.clear()  # One failure for each second.
        samples.append((now, requests))
