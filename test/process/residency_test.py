"""Checks that requests of a route or client account with allowed regions go only to upstreams in them.

The failure: gateways do not read the allowed regions of routes and client accounts and send requests to
the best upstream of any region. The log line `attempt.started` names the hall of each attempt.
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite, routing  # noqa: E402
from localsite import control  # noqa: E402

PATHS = ("/letters/1", "/status/1", "/stream/1")


class ResidencyTest(unittest.TestCase):
    def setUp(self):
        # The upstream in the gateway's own hall is nearest but lies outside the allowed region.
        self.site = GatewaySite(upstreams=3, **{"hall-regions": "north:centre,south:coast,west:coast"})
        self.addCleanup(self.site.__exit__)
        self.site.list_upstream("i-2", zone="south")
        self.site.list_upstream("i-3", zone="elsewhere")  # The region of this hall is unknown.
        self.version = 1

    def publish(self, route_regions=None, account_regions=None):
        self.version += 1
        document = routing(self.version)
        for route in document["routes"]:
            route.update({"allowed-regions": route_regions} if route_regions is not None else {})
        for account in document["tenants"]:
            account.update({"allowed-regions": account_regions} if account_regions is not None else {})
        control(self.site.store, {"put": {"op/config": document}})
        self.site.wait_until("the configuration is in force",
                             lambda: self.site.status()["configVersion"] == self.version)

    def runs_by_upstream(self):
        return {name: self.site.runs_at(name) for name in self.site.upstreams}

    def ask_all(self, times=4):
        return [self.site.ask(path)[0] for path in PATHS for _ in range(times)]

    def check_only(self, name, times=4):
        before = self.runs_by_upstream()
        self.assertEqual(set(self.ask_all(times)), {200})
        after = self.runs_by_upstream()
        elsewhere = {each: after[each] - before[each] for each in after if each != name and after[each] > before[each]}
        self.assertEqual(elsewhere, {}, f"expected all requests at {name}; see `attempt.started` in the log")

    def test_routes_regions_bind(self):
        self.publish(route_regions=["coast"])
        self.check_only("i-2")

    def test_accounts_regions_bind(self):
        self.publish(account_regions=["coast"])
        self.check_only("i-2")

    def test_both_bind_where_both_are_named(self):
        self.publish(route_regions=["coast", "hills"], account_regions=["centre", "coast"])
        self.check_only("i-2")

    def test_no_regions_bind_nothing(self):
        self.publish(route_regions=[], account_regions=[])
        before = self.runs_by_upstream()
        self.assertEqual(set(self.ask_all()), {200})
        self.assertGreater(self.site.runs_at("i-1"), before["i-1"])

    def test_second_tries_and_streams_that_are_taken_up_stay(self):
        self.publish(route_regions=["coast"])
        for trouble in ({"full": True}, {"fail": True}, {"breakAfter": 4}):
            control(self.site.upstreams["i-2"], trouble)
            before = self.runs_by_upstream()
            for path in PATHS:
                self.site.ask(path, timeout=8)
            after = self.runs_by_upstream()
            for name in ("i-1", "i-3"):
                self.assertEqual(after[name], before[name], f"{trouble}: a request went to {name}")
            control(self.site.upstreams["i-2"], {"full": False, "fail": False, "breakAfter": 0})
            time.sleep(0.3)

    def test_callers_are_refused_at_once_where_no_region_has_an_upstream(self):
        for route, account in ((["hills"], None), (["coast"], ["centre"]), (None, ["hills"])):
            self.publish(route, account)
            for path in PATHS:
                begun = time.monotonic()
                status, headers, text = self.site.ask(path, key=KEY)
                self.assertEqual((status, headers["Seamarch-Outcome"]), (503, "not-run"))
                self.assertIn("no_upstream_in_regions", text)
                self.assertLess(time.monotonic() - begun, 1.0, "expected a refusal at once")


if __name__ == "__main__":
    unittest.main()
