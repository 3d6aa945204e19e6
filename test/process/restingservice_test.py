"""Checks that an agent observes the Retry-After time of its upstream.

The failure: an agent passes a refusal on to the caller without recording the Retry-After time and starts
the next request at the upstream at once, whoever sent it. restingupstream_test.py covers the same failure
at gateways.
"""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from process_test import AUTH, QUICK_AGENT, QUICK_ENTRY  # noqa: E402
from localsite import Site, call, control  # noqa: E402

RETRY_AFTER_S = 2.0    # Value of the upstream's Retry-After header.
IN_FLIGHT_S = 0.5      # Time in which requests already in flight may arrive.
MAX_LATE_REQUESTS = 2  # Requests that may arrive in the rest of the Retry-After time.


class RestingServiceTest(unittest.TestCase):
    def setUp(self):
        self.site = Site("resting", halls=("north",), entry_options=QUICK_ENTRY,
                         agent_options=QUICK_AGENT, log_path=os.environ.get("SEAMARCH_TEST_LOG"))
        self.addCleanup(self.site.__exit__)
        self.site.add_accounts(["bids"], homeHall="north")
        self.site.config["services"].append({"name": "portal", "routes": [
            {"method": "POST", "path": "/letters", "repeatable": False},
            {"method": "POST", "path": "/status", "repeatable": True}]})
        self.site.add_pool("portal", 3, "service")
        self.site.add_entries(2)
        self.site.publish_and_wait()
        self.stopped, self.answers = False, []

    def caller(self, number):
        entries = list(self.site.entries.values())
        asked = 0
        while not self.stopped:
            asked += 1
            path = "letters" if (number + asked) % 2 else "status"
            answer = call(entries[asked % len(entries)], f"/services/portal/{path}", f"{number}-{asked}", AUTH, 6)
            self.answers.append((time.monotonic(), answer[0], answer[2]))
            time.sleep(0.03)

    def test_upstream_that_asks_for_rest_gets_it_and_the_others_serve(self):
        callers = [threading.Thread(target=self.caller, args=(number,)) for number in range(6)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        resting = next(iter(self.site.upstreams.values()))
        control(resting, {"rest": f"{RETRY_AFTER_S:.0f}"})
        time.sleep(0.5)
        served_from = time.monotonic()
        time.sleep(2 * RETRY_AFTER_S)
        refused = control(resting, {"rest": "", "list": True})["refusedMs"]
        runs = control(resting, {})["runs"]
        time.sleep(RETRY_AFTER_S + 1)
        again = control(resting, {})["runs"]
        self.stopped = True
        for caller in callers:
            caller.join()
        self.assertTrue(refused, "the upstream refused no request; the test is inconclusive")
        found = max(sum(1 for ms in refused if first + 1000 * IN_FLIGHT_S < ms < first + 1000 * RETRY_AFTER_S)
                    for first in refused)
        self.assertLessEqual(found, MAX_LATE_REQUESTS,
                             f"the upstream asked for {RETRY_AFTER_S} s and got {found} requests later than "
                             f"{IN_FLIGHT_S} s after that")
        self.assertGreater(again, runs, "expected requests after the Retry-After time, found none")
        failed = [answer for answer in self.answers if answer[0] > served_from and answer[1] != 200]
        self.assertLessEqual(len(failed), len(self.answers) // 20, failed[:3])


if __name__ == "__main__":
    unittest.main()
