"""Checks that an upstream which announces in its answers that it is leaving gets no new requests.

The failure: gateways learn only from the store that an upstream is leaving. If the store is unreachable,
behind, or restored with an older list, they keep sending to an upstream that has announced in its own
answers that it leaves.
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

DRAIN_TIME_S = 2.0  # Time in which requests already in flight may arrive.


class LeavingUpstreamTest(unittest.TestCase):
    def setUp(self):
        self.site = GatewaySite(upstreams=3)
        self.addCleanup(self.site.__exit__)
        self.callers = None
        self.addCleanup(lambda: self.callers and self.callers.stop())

    def begin(self, *entries):
        self.callers = Callers(list(entries) or [self.site.entry])
        time.sleep(0.3)

    def leave(self, name):
        control(self.site.upstreams[name], {"leaving": True})

    def arrivals(self, name):
        return len(control(self.site.upstreams[name], {})["arrivals"])

    def check_gets_nothing(self, name, seconds=1.5):
        before = self.arrivals(name)
        time.sleep(seconds)
        found = self.arrivals(name) - before
        self.assertEqual(found, 0, f"{name} announced that it leaves and got {found} requests later than "
                         f"{DRAIN_TIME_S} s after that; see `upstream.notice` in the gateway's log")

    def check_served(self):
        self.callers.stop()
        failed = [answer for answer in self.callers.answers if answer[1] != 200]
        self.assertLessEqual(len(failed), len(self.callers.answers) // 20, failed[:3])

    def test_it_gets_nothing_though_the_store_lists_it_as_ready(self):
        self.begin()
        self.leave("i-1")
        time.sleep(DRAIN_TIME_S)
        self.check_gets_nothing("i-1")
        self.check_served()

    def test_the_word_outlives_new_lists_and_the_stores_absence(self):
        self.begin()
        self.leave("i-1")
        time.sleep(DRAIN_TIME_S)
        self.site.list_upstream("i-1")
        control(self.site.store, {"remove": ["servers/i-1"]})
        time.sleep(0.3)
        self.site.list_upstream("i-1")
        control(self.site.store, {"forget": True})
        time.sleep(0.5)
        control(self.site.store, {"busy": True})
        self.check_gets_nothing("i-1")
        control(self.site.store, {"busy": False})
        self.check_gets_nothing("i-1")
        self.check_served()

    def test_refusals_and_failures_say_it_too(self):
        for change in ({"full": True}, {"fail": True}):
            self.begin()
            control(self.site.upstreams["i-2"], change)
            self.leave("i-2")
            time.sleep(DRAIN_TIME_S)
            self.check_gets_nothing("i-2")
            self.callers.stop()
            control(self.site.upstreams["i-2"], {"full": False, "fail": False, "leaving": False})
            self.site.list_upstream("i-2", born=len(self.callers.answers))

    def test_a_new_start_under_its_id_gets_requests_again(self):
        self.site.list_upstream("i-1", born=1000)
        time.sleep(0.5)
        self.begin()
        self.leave("i-1")
        time.sleep(DRAIN_TIME_S)
        self.check_gets_nothing("i-1", 0.5)
        control(self.site.upstreams["i-1"], {"leaving": False})
        self.site.list_upstream("i-1", born=2000)
        before = self.arrivals("i-1")
        self.site.wait_until("the restarted upstream gets requests", lambda: self.arrivals("i-1") > before, 3)
        self.check_served()

    def test_word_holds_at_a_gateway_that_adopts_lists_of_another(self):
        seed = free_address()
        with GatewaySite(upstreams=3, **{"peer-listen": seed, "seeds": seed}) as site:
            other = OtherGateway(site, "gateway-2", site.store, seed)
            site.wait_until("the other gateway is ready", other.ready)
            self.callers = Callers([site.entry, other.entry])
            time.sleep(0.3)
            control(site.upstreams["i-1"], {"leaving": True})
            time.sleep(DRAIN_TIME_S)
            for _ in range(3):
                site.list_upstream("i-2", capacity=7)
                time.sleep(0.2)
                site.list_upstream("i-2", capacity=6)
                time.sleep(0.2)
            before = len(control(site.upstreams["i-1"], {})["arrivals"])
            time.sleep(1.0)
            found = len(control(site.upstreams["i-1"], {})["arrivals"]) - before
            self.callers.stop()
            self.assertEqual(found, 0, f"expected no new requests at a leaving upstream that both know, found {found}")


if __name__ == "__main__":
    unittest.main()
