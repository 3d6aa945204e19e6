"""Checks that the retries of all gateways together stay within the budget of the platform's settings.

The failure: each gateway divides the additional allowance by the number of gateways that it knows of. Gateways
that cannot reach each other each save up for a larger part, and use it when the upstreams fail.

Each retry is an arrival of a request that has arrived at an upstream before.
"""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from gatewaysharing_test import OtherGateway  # noqa: E402
from localsite import call, control, free_address  # noqa: E402

GATEWAYS = 12
RATIO, SLACK, WINDOW_S = 0.2, 88.0, 10.0  # As in the platform's settings.
CALM_S, FAILING_S = 14.0, 11.0
CALLERS, PAUSE_S = 12, 0.11


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        nobody = free_address()  # The gateways look for each other there.
        self.site = GatewaySite(upstreams=4, **{"peer-listen": free_address(), "seeds": nobody,
                                                "retry-ratio": RATIO, "retry-slack": SLACK})
        self.addCleanup(self.site.__exit__)
        others = [OtherGateway(self.site, f"gateway-{number}", self.site.store, nobody)
                  for number in range(2, GATEWAYS + 1)]
        for other in others:
            self.site.wait_until("the other gateways are ready", other.ready)
        self.entries = [self.site.entry] + [other.entry for other in others]
        self.sent, self.lock, self.running = [], threading.Lock(), True

    def send(self, entry):
        while self.running:
            with self.lock:
                self.sent.append(time.monotonic())
                number = len(self.sent)
            headers = {"Host": "site.example", "Seamarch-Request-Id": f"b-{number}",
                       "Seamarch-Deadline-Ms": "4000", "Authorization": f"Token {KEY}"}
            call(entry, "/status/1", f"text {number}", headers, 6, "POST")
            time.sleep(PAUSE_S)

    def retries(self):
        """Returns the times of all retries, in order."""
        arrivals = []
        for address in self.site.upstreams.values():
            state = control(address, {})
            offset = time.monotonic() - state["nowMs"] / 1000
            arrivals += [(arrival["ms"] / 1000 + offset, arrival["id"]) for arrival in state["arrivals"]]
        seen, retries = set(), []
        for at, number in sorted(arrivals):
            retries += [at] if number in seen else []
            seen.add(number)
        return retries

    def sent_between(self, begin, end):
        return sum(begin < at <= end for at in self.sent)

    # Guards against gateways that cannot reach each other and retry more than all of them together may.
    def test_gateways_that_do_not_know_each_other_stay_within_the_budget(self):
        callers = [threading.Thread(target=self.send, args=(self.entries[number % GATEWAYS],))
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(CALM_S)
        self.site.set_all(fail=True)
        time.sleep(FAILING_S)
        self.running = False
        for caller in callers:
            caller.join()
        retries = self.retries()
        self.assertGreater(len(retries), 0, "no request was retried, so the test shows nothing")
        for end in retries:
            found = sum(end - WINDOW_S < at <= end for at in retries)
            most = max(self.sent_between(end - back - WINDOW_S, end - back) for back in (0, WINDOW_S / 2, WINDOW_S))
            self.assertLessEqual(found, RATIO * most + SLACK, f"{found} retries in {WINDOW_S} s, in which {most} "
                                 f"requests were sent; expected {RATIO * most + SLACK:.0f} at most")


if __name__ == "__main__":
    unittest.main()
