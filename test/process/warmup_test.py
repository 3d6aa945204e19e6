"""Checks that all gateways together stay within the warm-up rate of an upstream that is warming up.

The failure: gateways read neither the remaining warm-up time of an upstream nor the warm-up rate of its
service and keep sending at the previous rate (log line `attempt.started`). The upstream counts the
requests that arrive in each second.
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite, routing  # noqa: E402
from gatewaysharing_test import OtherGateway  # noqa: E402
from localsite import control, free_address  # noqa: E402
from restingupstream_test import Callers  # noqa: E402

WARM_UP_RATE = 4
MAX_REQUESTS_PER_SECOND = 1.5 * WARM_UP_RATE + 5  # Uses the default warm-up factor and slack.
SETTLE_TIME_S = 1.0                               # Time in which gateways learn of an entry.
LONG_WARM_UP_MS = 60_000


def max_requests_in_second(arrivals, since):
    times = [arrival["ms"] / 1000 for arrival in arrivals if arrival["ms"] / 1000 > since]
    return max((sum(1 for each in times if end - 1.0 < each <= end) for end in times), default=0)


class WarmUpTest(unittest.TestCase):
    def setUp(self):
        seed = free_address()
        self.site = GatewaySite(upstreams=4, **{"peer-listen": seed, "seeds": seed})
        self.addCleanup(self.site.__exit__)
        self.gateways = [OtherGateway(self.site, f"gateway-{number}", self.site.store, seed,
                                      "north" if number % 2 else "south") for number in (2, 3, 4)]
        # This gateway cannot reach the store and gets entries only from the others.
        self.gateways.append(OtherGateway(self.site, "gateway-5", free_address(), seed))
        for gateway in self.gateways:
            self.site.wait_until("the other gateways are ready", gateway.ready)
        document = routing(2)
        document["services"][0].update({"warmup-s": 60.0, "warmup-per-s": float(WARM_UP_RATE)})
        control(self.site.store, {"put": {"op/config": document}})
        for gateway in self.gateways:
            self.site.wait_until("the configuration is in force",
                                 lambda each=gateway: each.status()["configVersion"] == 2)
        self.callers = Callers([self.site.entry] + [gateway.entry for gateway in self.gateways], count=8, pause=0.01)
        self.addCleanup(lambda: self.callers.stop())
        time.sleep(0.5)

    def warm_up(self, names, millis=LONG_WARM_UP_MS, **more):
        for name in names:
            self.site.list_upstream(name, **{"warmup-left-ms": millis}, **more)
        time.sleep(SETTLE_TIME_S)
        return self.now(names[0])

    def now(self, name):
        return control(self.site.upstreams[name], {})["nowMs"] / 1000

    def arrivals(self, name):
        return control(self.site.upstreams[name], {})["arrivals"]

    def check_warm_up_rate(self, name, since):
        found = max_requests_in_second(self.arrivals(name), since)
        self.assertLessEqual(found, MAX_REQUESTS_PER_SECOND,
                             f"{name} got {found} requests in one second of its warm-up; see "
                             "`attempt.started` and `permits.answered` in the gateways' logs")

    def test_bound_holds_for_all_gateways_together_and_others_serve(self):
        since = self.warm_up(["i-1"])
        begun = time.monotonic()
        time.sleep(4)
        self.callers.stop()
        self.check_warm_up_rate("i-1", since)
        answers = [answer for answer in self.callers.answers if answer[0] > begun]
        served = sum(1 for answer in answers if answer[1] == 200)
        self.assertGreaterEqual(served, 0.95 * len(answers), "expected the other upstreams to serve nearly all")

    def test_bound_holds_where_all_of_a_service_warm_up_and_callers_hear_when_to_come_back(self):
        names = list(self.site.upstreams)
        since = self.warm_up(names)
        begun = time.monotonic()
        time.sleep(4)
        self.callers.stop()
        for name in names:
            self.check_warm_up_rate(name, since)
        answers = [answer for answer in self.callers.answers if answer[0] > begun]
        served = sum(1 for answer in answers if answer[1] == 200)
        self.assertGreaterEqual(served, 4, "expected gateways to use the warm-up rate")
        refused = [answer for answer in answers if answer[1] == 503]
        self.assertTrue(all(answer[2].get("Seamarch-Outcome") == "not-run" and "Retry-After" in answer[2]
                            for answer in refused), "expected each refusal to say not-run and to have Retry-After")

    def test_upstream_that_warms_up_again_is_bound_again_and_one_that_is_warm_gets_its_part(self):
        self.warm_up(["i-1"], 300)
        time.sleep(1)
        before = len(self.arrivals("i-1"))
        time.sleep(2)
        found = len(self.arrivals("i-1")) - before
        self.assertGreater(found, 2 * MAX_REQUESTS_PER_SECOND,
                           f"expected its share of the load, found {found} requests in 2 s")
        since = self.warm_up(["i-1"])
        time.sleep(2)
        self.check_warm_up_rate("i-1", since)
        self.warm_up(["i-1"], 0)
        before = len(self.arrivals("i-1"))
        time.sleep(2)
        self.assertGreater(len(self.arrivals("i-1")) - before, 2 * MAX_REQUESTS_PER_SECOND)

    def test_gateway_that_starts_meanwhile_keeps_the_bound(self):
        since = self.warm_up(["i-1"])
        new = OtherGateway(self.site, "gateway-6", self.site.store, self.gateways[0].peers)
        self.site.wait_until("the new gateway is ready", new.ready)
        self.callers.entries[:] = [new.entry] + self.callers.entries
        time.sleep(3)
        self.check_warm_up_rate("i-1", since)


if __name__ == "__main__":
    unittest.main()
