"""Checks that a caller that reads its stream late does not make a gateway doubt the upstream.

The failure: the gateway stops reading the answer of an upstream, and then takes that upstream for silent.
"""

import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402

EVENTS = 10
EVENT_BYTES = 4 * 1024 * 1024  # All events exceed by far what the kernel buffers on the way.


class SlowReaderTest(unittest.TestCase):
    def setUp(self):
        self.site = GatewaySite(upstreams=2)
        self.addCleanup(self.site.__exit__)
        self.site.set_all(eventBytes=EVENT_BYTES)

    def test_upstream_of_a_caller_that_reads_late_is_not_taken_for_silent(self):
        host, port = self.site.entry.split(":")
        caller = socket.create_connection((host, int(port)))
        self.addCleanup(caller.close)
        caller.sendall(b"POST /stream/1 HTTP/1.1\r\nHost: site.example\r\nSeamarch-Request-Id: late-1\r\n"
                       b"Connection: close\r\nContent-Length: 0\r\nAuthorization: Token " + KEY.encode() + b"\r\n\r\n")
        end = time.monotonic() + 3  # Longer than the route's callers bear silence.
        others = 0
        while time.monotonic() < end:
            others += 1
            self.assertEqual(self.site.ask(f"/stream/{others}")[0], 200)  # Other streams go on.
        received = 0
        while piece := caller.recv(1 << 20):
            received += len(piece)
        self.assertGreater(received, EVENTS * EVENT_BYTES)
        self.assertNotIn("attempt.silent", self.site.events())
        self.assertEqual(len(self.site.runs()), 1 + others)


if __name__ == "__main__":
    unittest.main()
