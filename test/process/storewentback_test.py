"""Checks that gateways handle a store that is restored from a copy that is some seconds old.

The restored store lacks later writes and assigns their revisions again, while operators and upstreams
write their entries again. A gateway must not miss writes below the revision that it had, and must not
revert what it has acknowledged: a revoked key stays revoked, and an upstream that was leaving or gone gets
no requests, even if the copy says otherwise.
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from gatewaysharing_test import OtherGateway  # noqa: E402
from localsite import control, free_address  # noqa: E402

CONFIG_DEADLINE_S = 2.0  # Time in which a configuration comes into force everywhere.


class StoreWentBackTest(unittest.TestCase):
    def setUp(self):
        self.seed = free_address()
        self.site = GatewaySite(upstreams=3, **{"peer-listen": self.seed, "seeds": self.seed})
        self.addCleanup(self.site.__exit__)
        time.sleep(0.3)

    def store(self, **change):
        return control(self.site.store, change)

    def version(self):
        return self.site.status()["configVersion"]

    def go_back(self):
        """Makes the store refuse requests for 0.2 s and then reverts it to its copy."""
        self.store(busy=True)
        time.sleep(0.2)
        self.store(goBack=True)

    def arrivals(self, name):
        return len(control(self.site.upstreams[name], {})["arrivals"])

    def ask_many(self, count=24):
        return [self.site.ask("/status/1")[0] for _ in range(count)]

    def test_what_is_written_below_the_revision_that_it_had_is_not_missed(self):
        self.store(copy=True)
        for capacity in range(7, 17):
            self.site.list_upstream("i-1", capacity=capacity)
        time.sleep(0.3)
        self.go_back()
        self.site.publish(2, ("new",))
        for capacity in range(7, 27):
            self.site.list_upstream("i-1", capacity=capacity)
        self.store(busy=False)
        self.site.wait_until("the configuration is in force", lambda: self.version() == 2, CONFIG_DEADLINE_S)
        self.assertEqual(self.site.ask("/letters/1", key="new")[0], 200)
        self.assertEqual(self.site.ask("/letters/1")[0], 401)

    def test_gateway_that_follows_another_hears_of_it_too(self):
        other = OtherGateway(self.site, "gateway-2", self.site.store, self.seed)
        self.site.wait_until("the other gateway is ready", other.ready)
        self.store(copy=True)
        for capacity in range(7, 27):
            self.site.list_upstream("i-1", capacity=capacity)
        time.sleep(0.5)
        self.go_back()
        self.store(busy=False)
        time.sleep(0.5)
        self.site.publish(2, ("new",))
        self.site.wait_until("the configuration is in force at both gateways", lambda: self.version() == 2
                             and other.status()["configVersion"] == 2, CONFIG_DEADLINE_S)
        self.assertEqual(other.ask("new"), 200)

    def test_revoked_key_stays_dead(self):
        self.store(copy=True)
        self.site.publish(2, ("new",))
        self.site.wait_until("version 2", lambda: self.version() == 2)
        self.go_back()
        self.store(busy=False)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            self.assertEqual(self.site.ask("/letters/1")[0], 401)
            time.sleep(0.05)
        self.assertEqual(self.site.ask("/letters/1", key="new")[0], 200)

    def test_gateway_that_starts_meanwhile_takes_the_higher_version_of_another(self):
        self.store(copy=True)
        self.site.publish(2, ("new",))
        self.site.wait_until("version 2", lambda: self.version() == 2)
        self.go_back()
        self.store(busy=False)
        other = OtherGateway(self.site, "gateway-2", self.site.store, self.seed, hall="south")
        self.site.wait_until("the new gateway is ready", other.ready)
        self.assertEqual(other.ask(KEY), 401)
        self.assertEqual(other.ask("new"), 200)

    # Guards against a seed that takes the older copy of the store for confirmed before it has heard of the others.
    def test_seed_that_starts_meanwhile_takes_the_higher_version_of_another(self):
        other = OtherGateway(self.site, "gateway-2", self.site.store, self.seed)
        self.site.wait_until("the other gateway is ready", other.ready)
        self.store(copy=True)
        self.site.publish(2, ("new",))
        self.site.wait_until("version 2 at both gateways",
                             lambda: self.version() == 2 and other.status()["configVersion"] == 2)
        self.go_back()
        self.site.gateway.end()
        self.store(busy=False)
        self.site.start_gateway()
        statuses = set()
        until = time.monotonic() + 2
        while time.monotonic() < until:
            statuses.add(self.site.ask("/letters/1")[0])
        self.assertIn(401, statuses)
        self.assertNotIn(200, statuses, "a request with the revoked key has run")

    def check_gets_nothing(self, name):
        before = self.arrivals(name)
        self.assertEqual(set(self.ask_many()), {200})
        found = self.arrivals(name) - before
        self.assertEqual(found, 0,
                         f"{name} got {found} requests after the gateway had acknowledged it as leaving or gone")

    def test_upstream_that_was_leaving_gets_nothing_though_the_copy_says_ready(self):
        self.store(copy=True)
        self.site.list_upstream("i-1", "draining")
        time.sleep(0.5)
        self.go_back()
        self.store(busy=False)
        time.sleep(1.0)
        self.check_gets_nothing("i-1")

    def test_upstream_that_was_gone_gets_nothing_though_the_copy_lists_it(self):
        self.store(copy=True)
        self.store(remove=["servers/i-1"])
        time.sleep(0.5)
        self.go_back()
        self.store(busy=False)
        time.sleep(1.0)
        self.check_gets_nothing("i-1")
        self.store(remove=["servers/i-1"])
        time.sleep(0.5)
        self.site.list_upstream("i-1")  # The upstream is alive and writes its entry again.
        before = self.arrivals("i-1")
        self.site.wait_until("the upstream gets requests",
                             lambda: self.ask_many(6) and self.arrivals("i-1") > before, 5)

    def test_living_upstream_that_the_copy_lacks_is_kept_until_it_has_written_again(self):
        self.store(remove=["servers/i-1", "servers/i-2", "servers/i-3"])
        time.sleep(0.3)
        self.store(copy=True)
        for name in self.site.upstreams:
            self.site.list_upstream(name)
        self.site.wait_until("the upstreams are listed", lambda: self.ask_many(1) == [200])
        self.go_back()
        self.store(busy=False)
        until = time.monotonic() + 1.0
        while time.monotonic() < until:
            self.assertEqual(self.site.ask("/status/1")[0], 200)
            time.sleep(0.05)
        self.site.list_upstream("i-2")
        time.sleep(1.5)
        self.assertEqual(self.site.ask("/status/1")[0], 200)


if __name__ == "__main__":
    unittest.main()
