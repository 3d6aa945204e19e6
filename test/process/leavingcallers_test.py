"""Checks that a gateway learns from answers to requests whose callers have left.

The failure: when a caller disconnects, the gateway closes its connection to the upstream at once. What the
upstream sends then is lost: a Retry-After, or that the process crashed on the request. Callers who leave
early and repeat such a request crash one upstream after another, and an upstream that asked for rest gets
requests all the same.

The log line `attempt.abandoned` shows how the attempt of a caller who left ended.
"""

import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashingrequest_test import CrashingRequestCase  # noqa: E402
from crashingsite import CrashingSiteRestarter, crashing_site  # noqa: E402
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import control, leave  # noqa: E402
from restingupstream_test import (IN_FLIGHT_S, MAX_LATE_REQUESTS, RETRY_AFTER_S,  # noqa: E402
                                  max_arrivals_in_retry_after)

HEADERS = {"Host": "site.example", "Authorization": f"Token {KEY}", "Seamarch-Deadline-Ms": "4000"}


class CrashTest(CrashingRequestCase):
    CRASH_DELAY_MS = 30  # From the arrival of the request.
    PATIENCE_S = 0.01    # Callers leave so long after they have sent the request.
    REPEAT_S = 10
    PAUSE_S = 0.15

    def check_stopped(self, path):
        self.restarter.settings = {**self.restarter.settings, "delayMs": self.CRASH_DELAY_MS}
        self.site.set_all(delayMs=self.CRASH_DELAY_MS)
        until = time.monotonic() + self.REPEAT_S
        while time.monotonic() < until:
            self.asked += 1
            leave(self.entries[self.asked % len(self.entries)], path, "poison",
                  {**HEADERS, "Seamarch-Request-Id": f"leaving-{self.asked}"}, after=self.PATIENCE_S)
            time.sleep(self.PAUSE_S)
        self.check_few_late_crashes()

    # Guards against crashes that are not counted because the request's caller has left.
    def test_repeatable_request_is_stopped(self):
        self.check_stopped("/status/1")

    # Guards against crashes on a stream that are not counted because its caller has left.
    def test_stream_is_stopped(self):
        self.check_stopped("/stream/1")

    # Guards against crashes on a request that may run once that are not counted because its caller has left.
    def test_request_that_may_run_once_is_stopped(self):
        self.check_stopped("/letters/1")


class LeavingDuringAnswerCase(CrashingRequestCase):
    restarter_type = CrashingSiteRestarter
    PATIENCE_S = (0.008, 0.018)  # The head of an answer is sent after 5 ms, the crash comes 20 ms later.
    REPEAT_S = 10
    PAUSE_S = 0.1

    def check_stopped(self, path="/stream/1"):
        until = time.monotonic() + self.REPEAT_S
        while time.monotonic() < until:
            self.asked += 1
            leave(self.entries[self.asked % len(self.entries)], path, "poison",
                  {**HEADERS, "Seamarch-Request-Id": f"leaving-{self.asked}"},
                  after=self.PATIENCE_S[self.asked % len(self.PATIENCE_S)])
            time.sleep(self.PAUSE_S)
        self.check_few_late_crashes()


class CrashAfterHeadTest(LeavingDuringAnswerCase):
    site_type = crashing_site(endsOn="poison", point="head")

    # Guards against crashes after the head of a stream that are not counted because its caller has left.
    def test_stream_is_stopped(self):
        self.check_stopped()

    # Guards against crashes after the head of a body that are not counted because its caller has left.
    def test_repeatable_request_is_stopped(self):
        self.check_stopped("/status/1")


class CrashAfterEventTest(LeavingDuringAnswerCase):
    site_type = crashing_site(endsOn="poison", point="event")

    # Guards against crashes after the first event that are not counted because the stream's caller has left.
    def test_stream_is_stopped(self):
        self.check_stopped()


class CrashInBodyTest(LeavingDuringAnswerCase):
    site_type = crashing_site(endsOn="poison", point="partial")

    # Guards against crashes inside a body that are not counted because its caller has left.
    def test_request_that_may_run_once_is_stopped(self):
        self.check_stopped("/letters/1")


class RestTest(unittest.TestCase):
    CALLERS = 12
    ANSWER_DELAY_S = 0.05  # The upstream does not run for so long after a request has been sent to it.
    PAUSE_S = 0.1

    # Guards against a Retry-After that is not observed because the request's caller has left.
    def test_rest_holds_although_callers_left_before_the_refusal(self):
        with GatewaySite(upstreams=1) as site:
            upstream = site.processes[1]
            # Requests that run at the same time leave as many idle connections behind. A request that takes
            # one of them is sent before its caller's disconnect is noticed.
            site.set_all(delayMs=150)
            waiting = [threading.Thread(target=site.ask, args=("/status/1",)) for _ in range(self.CALLERS)]
            for thread in waiting:
                thread.start()
            for thread in waiting:
                thread.join()
            site.set_all(full=True, rest=f"{RETRY_AFTER_S:.0f}")
            for number in range(self.CALLERS):
                upstream.send(signal.SIGSTOP)
                leave(site.entry, "/status/1", "x", {**HEADERS, "Seamarch-Request-Id": f"leaving-{number}"})
                time.sleep(self.ANSWER_DELAY_S)
                upstream.send(signal.SIGCONT)
                time.sleep(self.PAUSE_S)
            arrivals = control(site.upstreams["i-1"], {})["arrivals"]
            self.assertTrue(any(arrival["refused"] for arrival in arrivals),
                            "the upstream refused no request; the test is inconclusive")
            found = max_arrivals_in_retry_after(arrivals)
            self.assertLessEqual(found, MAX_LATE_REQUESTS, f"expected at most {MAX_LATE_REQUESTS} requests later than "
                                 f"{IN_FLIGHT_S} s after the first refusal, found {found}; see `attempt.abandoned`")


if __name__ == "__main__":
    unittest.main()
