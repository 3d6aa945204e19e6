"""Checks that a site of several halls serves after many of its gateways were killed at the same moment.

Only the store can then tell the new processes the configuration. It also holds keys of other writers, and
answers lists in short pages.
"""

import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import call, control, free_address  # noqa: E402

HALLS = ("east", "north", "south")
PER_HALL = 2
FOREIGN_KEYS = ("a00%25", "a01%00", "a02&b=", "a03+", "a04%C3%A9")
DISCOVERY_S = 3.5  # After this time, one gateway of each hall follows the store.
RECOVERY_S = 12.0  # Time within which gateways must serve after the machines have come back.


class HallGateway:
    def __init__(self, site, name, hall, peer, seeds):
        self.name, self.entry, self.operators = name, free_address(), free_address()
        self.arguments = ["--instance", name, "--hall", hall, "--listen", self.entry, "--operator-listen",
                          self.operators, "--platform", site.store, "--peer-listen", peer, "--seeds", seeds]
        self.site = site
        self.start()

    def start(self):
        self.process = self.site.start("seamarchd", "gateway", *self.arguments)

    def ready(self):
        return call(self.operators, "/readyz", timeout=2)[0] == 200

    def follows_store(self):
        return json.loads(call(self.operators, "/status", timeout=2)[2])["followsStore"]

    def ask(self, number):
        headers = {"Host": "site.example", "Seamarch-Request-Id": f"{self.name}-{number}",
                   "Authorization": f"Token {KEY}"}
        return call(self.entry, "/letters/1", "x", headers, 10, "POST")[0]


class RestartedSiteTest(unittest.TestCase):
    def setUp(self):
        peers = {hall: [free_address() for _ in range(PER_HALL)] for hall in HALLS}
        seeds = ",".join(peers[hall][0] for hall in HALLS)
        self.site = GatewaySite(**{"peer-listen": free_address(), "seeds": seeds})
        self.addCleanup(self.site.__exit__)
        self.site.gateway.end()
        self.gateways = [HallGateway(self.site, f"{hall}-{number}", hall, peer, seeds)
                         for hall in HALLS for number, peer in enumerate(peers[hall])]
        self.wait_until_ready()
        time.sleep(DISCOVERY_S)
        places = [place + key for key in FOREIGN_KEYS for place in ("", "op/")]
        control(self.site.store, {"pageItems": 1, "putText": {place: "x" for place in places}})

    def wait_until_ready(self):
        for gateway in self.gateways:
            self.site.wait_until(f"{gateway.name} is ready", gateway.ready, RECOVERY_S)

    def restart(self, gateways):
        for gateway in gateways:
            gateway.process.end()
        for gateway in gateways:
            gateway.start()

    # Guards against gateways that never become ready because no list of the store ends.
    def test_all_gateways_serve_after_all_were_killed(self):
        self.restart(self.gateways)
        self.wait_until_ready()
        self.assertEqual([gateway.ask(1) for gateway in self.gateways], [200] * len(self.gateways))

    # Guards against gateways that were not killed and lose their readiness: those that followed the store for
    # them are gone, and the lists that take their place do not end.
    def test_gateways_that_live_on_stay_ready_when_those_that_follow_the_store_are_killed(self):
        killed = [gateway for gateway in self.gateways if gateway.follows_store()]
        alive = [gateway for gateway in self.gateways if gateway not in killed]
        self.assertTrue(killed and alive, "no gateway, or each, follows the store; the test is inconclusive")
        self.restart(killed)
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            self.assertEqual([gateway.name for gateway in alive if not gateway.ready()], [])
            time.sleep(0.2)
        self.wait_until_ready()


if __name__ == "__main__":
    unittest.main()
