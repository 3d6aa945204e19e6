"""Checks that all gateways together stay within the rate limit that an upstream announces.

The failure: gateways do not read the limit in an upstream's answers, and each accounts for its own
requests only. An overloaded engine that announces a limit of one request per second for all gateways
together gets 13 to 16 requests in 4 s from the gateways of its hall and sometimes one of another: no
gateway alone sends more than 1.7 per second, but together they send three times the limit.

The log line `upstream.notice` records the announcement, and `attempt.started` the later requests.
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

WINDOW_S = 4.0       # Window in which the test counts requests.
SETTLE_TIME_S = 3.0  # Time from the announcement of a limit until it binds all gateways.
SLACK = 5            # Requests allowed per window beyond 1.5 times the limit.


def max_requests_in_window(arrivals, since):
    """Returns the maximum number of requests in any window that ends `SETTLE_TIME_S` after `since` or later."""
    times = [arrival["ms"] / 1000 for arrival in arrivals]
    return max([sum(1 for each in times if end - WINDOW_S < each <= end and each > since + 0.5)
                for end in times if end >= since + SETTLE_TIME_S], default=0)


def allowed(limit):
    return 1.5 * limit * WINDOW_S + SLACK


class LimitedUpstreamTest(unittest.TestCase):
    def setUp(self):
        seed = free_address()
        self.site = GatewaySite(upstreams=4, **{"peer-listen": seed, "seeds": seed})
        self.addCleanup(self.site.__exit__)
        self.gateways = [OtherGateway(self.site, f"gateway-{number}", self.site.store, seed,
                                      "north" if number % 2 else "south") for number in (2, 3, 4)]
        for gateway in self.gateways:
            self.site.wait_until("the other gateways are ready", gateway.ready)
        self.callers = None
        self.addCleanup(lambda: self.callers and self.callers.stop())

    def begin(self):
        self.callers = Callers([self.site.entry] + [gateway.entry for gateway in self.gateways], count=8)
        time.sleep(1)

    def limit(self, names, limit):
        """Makes upstreams announce `limit` and returns the time in seconds by their clock."""
        for name in names:
            control(self.site.upstreams[name], {"limit": str(limit)})
        return control(self.site.upstreams[names[0]], {})["nowMs"] / 1000

    def arrivals(self, name):
        return control(self.site.upstreams[name], {})["arrivals"]

    def check_limit_observed(self, name, limit, since):
        found = max_requests_in_window(self.arrivals(name), since)
        self.assertLessEqual(found, allowed(limit), f"{name} announced a limit of {limit} requests/s and got {found} "
                             f"requests in {WINDOW_S:.0f} s; see `upstream.notice` in the gateways' logs")

    def check_served(self, since, part=0.95):
        answers = [answer for answer in self.callers.answers if answer[0] > since]
        served = sum(1 for answer in answers if answer[1] == 200)
        self.assertGreaterEqual(served, part * len(answers), f"expected the other upstreams to serve nearly all, "
                                f"found {served} of {len(answers)} served")

    def test_limit_holds_for_all_gateways_together_and_others_serve(self):
        self.begin()
        since = self.limit(["i-1"], 1)
        begun = time.monotonic()
        time.sleep(10)
        self.callers.stop()
        self.check_limit_observed("i-1", 1, since)
        self.check_served(begun)

    def test_limited_upstream_is_not_given_up(self):
        """Gateways use at least half of the rate that a limited upstream announces."""
        self.begin()
        since = self.limit(["i-1", "i-2"], 3)
        time.sleep(10)
        self.callers.stop()
        for name in ("i-1", "i-2"):
            self.check_limit_observed(name, 3, since)
            used = [each for each in self.arrivals(name) if each["ms"] / 1000 > since + 2]
            self.assertGreaterEqual(len(used), 0.5 * 3 * 8, f"expected {name} to get at least half of its limit "
                                    f"in 8 s, found {len(used)} requests")

    def test_limit_that_falls_binds_as_the_lower_one(self):
        self.begin()
        self.limit(["i-1"], 6)
        time.sleep(4)
        since = self.limit(["i-1"], 0.5)
        time.sleep(8)
        self.callers.stop()
        self.check_limit_observed("i-1", 0.5, since + 1)

    def test_upstream_that_names_no_limit_any_more_gets_its_part_again(self):
        self.begin()
        self.limit(["i-1"], 2)
        time.sleep(4)
        since = self.limit(["i-1"], "")
        time.sleep(4)
        self.callers.stop()
        late = [each for each in self.arrivals("i-1") if each["ms"] / 1000 > since + 2]
        self.assertGreater(len(late), 20, f"expected its share of about 100 requests/s, found {len(late)} in 2 s")

    def test_callers_are_served_up_to_the_limits_when_all_upstreams_name_one(self):
        self.begin()
        names = list(self.site.upstreams)
        since = self.limit(names, 3)
        time.sleep(2)
        begun = time.monotonic()
        time.sleep(8)
        self.callers.stop()
        for name in names:
            self.check_limit_observed(name, 3, since)
        refused = [answer for answer in self.callers.answers if answer[0] > begun and answer[1] == 503]
        served = [answer for answer in self.callers.answers if answer[0] > begun and answer[1] == 200]
        self.assertGreaterEqual(len(served), 0.5 * 3 * len(names) * 8)
        self.assertTrue(refused, "no request was refused; the test is inconclusive")
        self.assertTrue(all(answer[2].get("Seamarch-Outcome") == "not-run" and "Retry-After" in answer[2]
                            for answer in refused), "expected each refusal to say not-run and to have Retry-After")

    def test_limit_holds_when_a_gateway_starts_anew(self):
        self.begin()
        since = self.limit(["i-1"], 1)
        time.sleep(4)
        again = OtherGateway(self.site, "gateway-5", self.site.store, self.gateways[0].peers)
        self.site.wait_until("the new gateway is ready", again.ready)
        self.callers.entries[:] = [again.entry if entry == self.gateways[1].entry else entry
                                   for entry in self.callers.entries]
        time.sleep(0.5)
        self.gateways[1].process.end()
        time.sleep(7)
        self.callers.stop()
        self.check_limit_observed("i-1", 1, since)


if __name__ == "__main__":
    unittest.main()
