"""Tests of several gateway processes: information that one gateway gets from the store reaches the others.

Each test injects a failure from outside and checks what callers observe and what gateways report.
"""

import itertools
import json
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import call, control, free_address  # noqa: E402

_numbers = itertools.count(1)


class OtherGateway:
    """An additional gateway of a site that uses the store at address `store`."""

    def __init__(self, site, name, store, seeds, hall="north"):
        self.entry, self.operators, self.peers = (free_address() for _ in range(3))
        self.process = site.start(
            "seamarchd", "gateway", "--instance", name, "--hall", hall, "--listen", self.entry,
            "--operator-listen", self.operators, "--platform", store, "--peer-listen", self.peers,
            "--seeds", seeds)

    def status(self):
        return json.loads(call(self.operators, "/status", timeout=2)[2])

    def ready(self):
        return call(self.operators, "/readyz", timeout=2)[0] == 200

    def ask(self, key=KEY):
        headers = {"Host": "site.example", "Seamarch-Request-Id": f"s-{next(_numbers)}",
                   "Authorization": f"Token {key}"}
        return call(self.entry, "/letters/1", "x", headers, 10, "POST")[0]


class GatewaySharingTest(unittest.TestCase):
    def setUp(self):
        self.seed = free_address()
        self.site = GatewaySite(**{"peer-listen": self.seed, "seeds": self.seed})
        self.addCleanup(self.site.__exit__)

    def other(self, name, store=None, hall="north"):
        gateway = OtherGateway(self.site, name, store or self.site.store, self.seed, hall)
        self.site.wait_until(f"{name} is ready", gateway.ready)
        return gateway

    def test_gateway_that_cannot_reach_the_store_lives_on_another(self):
        cut_off = self.other("gateway-2", store=free_address())
        self.assertEqual(cut_off.ask(), 200)
        self.site.publish(2, ("new",))
        self.site.wait_until("version 2", lambda: cut_off.status()["configVersion"] == 2)
        self.assertEqual(cut_off.ask(), 401)
        self.assertEqual(cut_off.ask("new"), 200)

    def test_gateway_of_another_hall_helps_as_well(self):
        cut_off = self.other("gateway-2", store=free_address(), hall="south")
        self.site.publish(2, ("new",))
        self.site.wait_until("version 2", lambda: cut_off.status()["configVersion"] == 2)
        self.assertEqual(cut_off.ask("new"), 200)

    def test_leaving_upstream_is_known_through_another_gateway(self):
        cut_off = self.other("gateway-2", store=free_address())
        self.site.list_upstream("i-1", "draining")

        def gets_no_requests():
            before = self.runs_at("i-1")
            for _ in range(6):
                self.assertEqual(cut_off.ask(), 200)
            return self.runs_at("i-1") == before
        self.site.wait_until("the leaving upstream gets no requests", gets_no_requests)

    def runs_at(self, name):
        return len(control(self.site.upstreams[name], {})["runs"])

    def test_one_gateway_of_a_hall_follows_the_store(self):
        others = [self.other(f"gateway-{number}") for number in (2, 3, 4)]

        def followers():
            states = [self.site.status()] + [other.status() for other in others]
            return [state["instance"] for state in states if state["followsStore"]]
        self.site.wait_until("one follows the store", lambda: len(followers()) == 1)

    # At the start of a site, each gateway knows no peers and would elect itself to follow the store.
    def test_new_gateway_does_not_follow_the_store_before_it_knows_the_others(self):
        new = self.other("gateway-2")
        for _ in range(10):
            self.assertFalse(new.status()["followsStore"])
            time.sleep(0.1)

    def test_another_follows_the_store_when_the_one_that_did_is_silent(self):
        others = [self.other(f"gateway-{number}") for number in (2, 3)]
        gateways = {"gateway-1": self.site.gateway,
                    **{other.status()["instance"]: other.process for other in others}}

        def follower():
            states = [self.site.status()] + [other.status() for other in others]
            names = [state["instance"] for state in states if state["followsStore"]]
            return names[0] if len(names) == 1 else None
        self.site.wait_until("one follows the store", follower)
        silent = follower()
        gateways[silent].send(signal.SIGSTOP)
        self.addCleanup(gateways[silent].send, signal.SIGCONT)
        self.site.publish(2, ("new",))
        rest = [other for other in others if gateways[silent] is not other.process]
        for other in rest:
            self.site.wait_until("version 2", lambda o=other: o.status()["configVersion"] == 2)
            self.assertEqual(other.ask("new"), 200)

    def test_list_that_has_not_changed_is_handed_on_once(self):
        followers = [self.other(f"gateway-{number}") for number in (2, 3, 4)]
        self.site.wait_until("one follows the store", lambda: sum(
            state["followsStore"] for state in
            [self.site.status()] + [other.status() for other in followers]) == 1)
        # A new gateway follows a seed for 3 s and may then follow the store. After that, each has the list
        # of the peer that it follows.
        time.sleep(4.5)
        before = self.site.events().count("upstreams.adopted")
        time.sleep(3)
        self.assertEqual(self.site.events().count("upstreams.adopted"), before)

    def test_keys_are_not_judged_when_nobody_hears_the_store(self):
        cut_off = self.other("gateway-2", store=free_address())
        control(self.site.store, {"silent": True})
        self.site.wait_until("keys are refused", lambda: cut_off.ask() == 503)
        self.site.wait_until("the gateway is not ready", lambda: not cut_off.ready())


if __name__ == "__main__":
    unittest.main()
