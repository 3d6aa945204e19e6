"""Checks that a hall drained by the operators gets no new requests from any gateway until it is restored.

The failure: gateways do not read the operators' drain entry in the store and keep sending requests to the
hall's upstreams (3,769 in one day). The log line `attempt.started` names the upstream of each attempt.
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402
from gatewaysharing_test import OtherGateway  # noqa: E402
from localsite import control, free_address  # noqa: E402
from restingupstream_test import Callers  # noqa: E402

SETTLE_TIME_S = 2.0  # Time in which every gateway learns of the drain; 5 s are allowed.
DRAIN_KEY = "op/evacuate/south"


class DrainedHallTest(unittest.TestCase):
    def setUp(self):
        seed = free_address()
        self.site = GatewaySite(upstreams=4, **{"peer-listen": seed, "seeds": seed})
        self.addCleanup(self.site.__exit__)
        for name in ("i-3", "i-4"):
            self.site.list_upstream(name, zone="south")
        self.other = OtherGateway(self.site, "gateway-2", self.site.store, seed, "south")
        # This gateway cannot reach the store and learns of the drain from the others.
        self.without_store = OtherGateway(self.site, "gateway-3", free_address(), seed, "south")
        for gateway in (self.other, self.without_store):
            self.site.wait_until("the other gateways are ready", gateway.ready)
        self.callers = Callers([self.site.entry, self.other.entry, self.without_store.entry])
        self.addCleanup(lambda: self.callers.stop())
        time.sleep(0.5)

    def put(self, key=DRAIN_KEY, value=None):
        control(self.site.store, {"put": {key: {} if value is None else value}})

    def remove(self, key=DRAIN_KEY):
        control(self.site.store, {"remove": [key]})

    def arrivals(self, *names):
        return sum(len(control(self.site.upstreams[name], {})["arrivals"]) for name in names)

    def check_gets_nothing(self, seconds=1.5):
        before = self.arrivals("i-3", "i-4")
        time.sleep(seconds)
        found = self.arrivals("i-3", "i-4") - before
        self.assertEqual(found, 0, f"expected no requests at the upstreams of a drained hall, found {found}; see "
                         "`attempt.started` and `hall.drained` in the gateways' logs")

    def check_gets_requests(self):
        before = self.arrivals("i-3", "i-4")
        self.site.wait_until("the hall gets requests", lambda: self.arrivals("i-3", "i-4") > before, 4)

    def test_it_gets_nothing_until_it_is_taken_back(self):
        self.check_gets_requests()
        self.put()
        time.sleep(SETTLE_TIME_S)
        self.check_gets_nothing()
        self.remove()
        self.check_gets_requests()
        self.callers.stop()
        failed = [answer for answer in self.callers.answers if answer[1] != 200]
        self.assertLessEqual(len(failed), len(self.callers.answers) // 50, failed[:3])

    def test_drain_that_is_taken_back_and_written_again_binds(self):
        for _ in range(3):
            self.put()
            self.remove()
        self.put()
        time.sleep(SETTLE_TIME_S)
        self.check_gets_nothing()

    def test_value_that_makes_no_sense_binds_all_the_same(self):
        self.put(value=["no", {"object": 1}])
        time.sleep(SETTLE_TIME_S)
        self.check_gets_nothing()

    def test_drain_holds_while_the_store_is_away_and_after_its_history_is_gone(self):
        self.put()
        time.sleep(SETTLE_TIME_S)
        control(self.site.store, {"busy": True})
        self.check_gets_nothing()
        control(self.site.store, {"busy": False, "forget": True})
        self.check_gets_nothing()

    def test_gateway_that_starts_while_a_hall_is_drained_knows_it(self):
        self.put()
        time.sleep(SETTLE_TIME_S)
        new = OtherGateway(self.site, "gateway-4", self.site.store, self.other.peers, "south")
        self.site.wait_until("the new gateway is ready", new.ready)
        self.callers.entries[:] = [new.entry]
        self.check_gets_nothing()

    def test_callers_are_refused_at_once_while_every_hall_is_drained(self):
        self.put()
        self.put("op/evacuate/north")
        time.sleep(SETTLE_TIME_S)
        begun = time.monotonic()
        status, headers, _ = self.site.ask("/letters/1")
        self.assertEqual((status, headers["Seamarch-Outcome"]), (503, "not-run"))
        self.assertIn("Retry-After", headers)
        self.assertLess(time.monotonic() - begun, 1.0, "expected a refusal at once")
        self.remove("op/evacuate/north")
        self.site.wait_until("the other hall serves", lambda: self.site.ask("/letters/1")[0] == 200, 4)


if __name__ == "__main__":
    unittest.main()
