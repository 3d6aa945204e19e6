"""Checks that a gateway observes a Retry-After whose caller has left, behind a relay without half-closed connections.

The failure: the gateway closes the sending direction of an attempt at once when its caller leaves, and reads on. A
relay between the gateway and the upstream, or a server that takes the end of the data for a disconnect, then closes
the connection completely, and a refusal that is under way is lost with its Retry-After.

The log line `attempt.abandoned` shows how the attempt of a caller who left ended.
"""

import os
import signal
import sys
import threading
import time
import unittest

sys.path[:0] = [os.path.dirname(__file__), os.path.join(os.path.dirname(__file__), "..", "..", "soak")]
from gateway_test import GatewaySite  # noqa: E402
from leavingcallers_test import HEADERS  # noqa: E402
from localsite import control, free_address, leave  # noqa: E402
from proxy import Proxy, ProxyLoop  # noqa: E402
from restingupstream_test import (IN_FLIGHT_S, MAX_LATE_REQUESTS, RETRY_AFTER_S,  # noqa: E402
                                  max_arrivals_in_retry_after)


class RelayedSite(GatewaySite):
    """A site with a relay before each upstream that closes both directions of a connection when one ends."""

    def __init__(self, **more):
        self.loop, self.relays = ProxyLoop(), {}
        super().__init__(**more)

    def list_upstream(self, name, phase="ready", **more):
        if name not in self.relays:
            self.relays[name] = Proxy(self.loop, free_address(), self.upstreams[name]).address
        super().list_upstream(name, phase, address=self.relays[name], **more)

    def __exit__(self, *_):
        super().__exit__()
        self.loop.end()


class RelayedRestTest(unittest.TestCase):
    CALLERS = 12
    ANSWER_DELAY_S = 0.05  # The upstream does not run for so long after a request has been sent to it.
    PAUSE_S = 0.1

    def setUp(self):
        self.site = RelayedSite(upstreams=1)
        self.addCleanup(self.site.__exit__)
        # Requests that run at the same time leave as many idle connections behind. A request that takes one of
        # them is sent before its caller's disconnect is noticed.
        self.site.set_all(delayMs=150)
        waiting = [threading.Thread(target=self.site.ask, args=("/status/1",)) for _ in range(self.CALLERS)]
        for thread in waiting:
            thread.start()
        for thread in waiting:
            thread.join()
        self.site.set_all(full=True, rest=f"{RETRY_AFTER_S:.0f}")

    def check_rest(self, path):
        upstream = self.site.processes[1]
        for number in range(self.CALLERS):
            upstream.send(signal.SIGSTOP)
            leave(self.site.entry, path, "x", {**HEADERS, "Seamarch-Request-Id": f"leaving-{number}"})
            time.sleep(self.ANSWER_DELAY_S)
            upstream.send(signal.SIGCONT)
            time.sleep(self.PAUSE_S)
        arrivals = control(self.site.upstreams["i-1"], {})["arrivals"]
        self.assertTrue(any(arrival["refused"] for arrival in arrivals),
                        "the upstream refused no request; the test is inconclusive")
        found = max_arrivals_in_retry_after(arrivals)
        self.assertLessEqual(found, MAX_LATE_REQUESTS, f"expected at most {MAX_LATE_REQUESTS} requests later than "
                             f"{IN_FLIGHT_S} s after the first refusal, found {found}; see `attempt.abandoned`")

    # Guards against a Retry-After that is lost because the gateway has closed its sending direction.
    def test_rest_of_a_repeatable_request_holds(self):
        self.check_rest("/status/1")

    def test_rest_of_a_request_that_may_run_once_holds(self):
        self.check_rest("/letters/1")

    def test_rest_of_a_stream_holds(self):
        self.check_rest("/stream/1")


if __name__ == "__main__":
    unittest.main()
