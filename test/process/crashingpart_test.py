"""Checks that requests with a prompt part that crashes every upstream which answers it are stopped.

The failure: many requests share one part of their prompts, no two are alike, and each upstream that begins
to answer one crashes. A gateway that remembers crashes by whole requests sees each crash as the first of its
request. On a site with a group of twelve engines, nine crashed one after the other.
"""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashingrequest_test import UpstreamRestarter  # noqa: E402
from gateway_test import KEY, GatewaySite  # noqa: E402
from gatewaysharing_test import OtherGateway  # noqa: E402
from localsite import call, control, free_address  # noqa: E402

CRASHING = "bad0bad0"
COMMON = "c0330a11"    # The first part of all requests.
SUBJECT = "5ab1ec70"   # Another part that crashing and sound requests share.
CONTACT_S = 3.0        # Time in which connected gateways learn of a crash.
IDENTIFYING_CRASHES = 5
MAX_LATE_ARRIVALS = 3  # Of requests with the part, later than CONTACT_S after the fifth crash.
MIN_SOUND_REQUESTS = 20


class PartRestarter(UpstreamRestarter):
    """Restarts upstreams that crash on the part."""

    settings = {"endsOnPart": CRASHING, "delayMs": 5}


class CrashingPartCase(unittest.TestCase):
    """Four gateways in two halls, and four upstreams that crash on one prompt part."""

    site_type = GatewaySite
    restarter_type = PartRestarter

    def setUp(self):
        self.seed = free_address()
        self.site = self.site_type(upstreams=4, **{"peer-listen": self.seed, "seeds": self.seed})
        self.addCleanup(self.site.__exit__)
        self.site.set_all(**PartRestarter.settings)
        self.restarter = self.restarter_type(self.site, 4)
        self.addCleanup(self.restarter.stop)
        others = [OtherGateway(self.site, f"gateway-{number}", self.site.store, self.seed, hall)
                  for number, hall in ((2, "north"), (3, "south"), (4, "south"))]
        for other in others:
            self.site.wait_until("the other gateways are ready", other.ready)
        self.site.wait_until("every gateway lists all four", lambda: [
            g.status()["gateways"] for g in [self.site] + others] == [4] * 4)
        self.entries = [self.site.entry] + [other.entry for other in others]
        self.others = others
        self.asked = 0
        self.lock = threading.Lock()
        self.running = True
        self.sound = []  # (time, status) of the sound requests.
        self.poison = []  # (time, status) of the requests with the crashing part.

    def ask(self, path, parts):
        with self.lock:
            self.asked += 1
            number = self.asked
        headers = {"Host": "site.example", "Seamarch-Request-Id": f"p-{number}",
                   "Seamarch-Deadline-Ms": "4000", "Authorization": f"Token {KEY}",
                   "Seamarch-Prefix-Hash": ",".join(f"{part}:40" for part in [*parts, f"ff{number:06x}"])}
        entry = self.entries[number % len(self.entries)]
        return call(entry, path, f"text {number}", headers, 6, "POST")[0]

    def send_sound(self, path):
        while self.running:
            at = time.monotonic()
            self.sound.append((at, self.ask(path, [COMMON, SUBJECT])))
            time.sleep(0.02)

    def send_poison(self, path, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            at = time.monotonic()
            self.poison.append((at, self.ask(path, [COMMON, CRASHING, SUBJECT])))
            time.sleep(0.15)

    def served(self, begin, end):
        """Returns how many sound requests were sent in the time, and the share of them that was served."""
        answers = [status for at, status in self.sound if begin <= at < end]
        return len(answers), sum(status == 200 for status in answers) / max(1, len(answers))

    def check_stopped(self, path):
        thread = threading.Thread(target=self.send_sound, args=(path,))
        thread.start()
        try:
            started = time.monotonic()
            time.sleep(3)
            attacked = time.monotonic()
            self.send_poison(path, 12)
            ended = time.monotonic()
        finally:
            self.running = False
            thread.join()
        ends = self.restarter.ends
        self.assertGreater(len(ends), 0, "no upstream crashed, so the test shows nothing")
        if len(ends) >= IDENTIFYING_CRASHES:
            known = ends[IDENTIFYING_CRASHES - 1] + CONTACT_S
            late = [end for end in ends if end > known]
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, f"{len(ends)} upstreams crashed, {len(late)} of them "
                                 f"later than {CONTACT_S} s after the fifth; expected {MAX_LATE_ARRIVALS} at most")
        usual_count, usual = self.served(started, attacked)
        since = ends[min(len(ends), IDENTIFYING_CRASHES) - 1] + 2 * CONTACT_S
        count, share = self.served(since, ended)
        self.assertGreaterEqual(min(usual_count, count), MIN_SOUND_REQUESTS, "too few sound requests to compare")
        self.assertGreaterEqual(share, usual / 2, f"of the sound requests that share parts with crashing ones "
                                f"{share:.0%} were served, {usual:.0%} before the first crash")
        self.assertEqual([status for at, status in self.poison if at > since and status != 503], [],
                         "expected requests with the crashing part to be rejected with 503")


class CrashingPartTest(CrashingPartCase):
    # Guards against crash records that are kept by whole requests when one prompt part is the cause.
    def test_streams_with_the_part_are_stopped(self):
        self.check_stopped("/stream/1")

    def test_repeatable_requests_with_the_part_are_stopped(self):
        self.check_stopped("/status/1")

    def test_requests_that_may_run_once_with_the_part_are_stopped(self):
        self.check_stopped("/letters/1")


if __name__ == "__main__":
    unittest.main()
