"""Checks that the bodies a gateway holds stay within its memory budget while requests are admitted.

The failure: uploads go on in the memory that was given to a request a moment before, and the process exceeds
the memory of its machine.
"""

import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from slowcallers_test import MAX_HELD, MEGABYTE, SLACK, UPLOADS, Upload  # noqa: E402


class HeldBytes(threading.Thread):
    """Watches how many bytes the gateway holds, until `end`."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.most, self.over = site, 0, False
        self.start()

    def run(self):
        while not self.over:
            self.most = max(self.most, self.site.status()["heldBytes"])
            time.sleep(0.005)

    def end(self):
        """Returns the largest number seen."""
        self.over = True
        self.join(10)
        return self.most


class HeldBodiesTest(unittest.TestCase):
    def setUp(self):
        self.site = GatewaySite(upstreams=2, **{"memory-mb": 2 * MAX_HELD // MEGABYTE})
        self.addCleanup(self.site.__exit__)

    # Guards against uploads that use the memory of requests admitted since they were last limited.
    def test_held_bytes_stay_within_the_limit_while_requests_are_admitted(self):
        self.site.set_all(delayMs=300)
        watch = HeldBytes(self.site)
        size = MEGABYTE - 1024  # Two such uploads fit, and two requests.
        for turn in range(8):
            first = [Upload(self.site.entry, f"{turn}-{number}", size) for number in range(2)]
            self.site.wait_until("both uploads wait for their last part",
                                 lambda: self.site.status()["heldBytes"] >= 2 * (size - 1))
            others_start = threading.Event()
            others = [Upload(self.site.entry, f"{turn}-{number}", 2 * size, others_start)
                      for number in range(2, UPLOADS)]
            for upload in first:
                upload.may_finish.set()
            others_start.set()
            time.sleep(0.3)
            for upload in others:
                upload.may_finish.set()
            for upload in first + others:
                upload.thread.join(30)
            self.site.wait_until("nothing is held", lambda: self.site.status()["heldBytes"] == 0)
        self.assertLessEqual(watch.end(), MAX_HELD + SLACK, "expected uploads to pause at once; see memory.restricted")

    # Guards against uploads and requests that lack the memory of a request that has ended.
    def test_uploads_go_on_once_a_request_has_ended(self):
        sizes = MAX_HELD * 9 // 32, MAX_HELD // 8  # Both fit, but the first alone takes more than half of the room.
        for turn in range(8):
            may_start = threading.Event()
            uploads = [Upload(self.site.entry, f"{turn}-{number}", size, may_start)
                       for number, size in enumerate(sizes)]
            self.assertEqual(self.site.ask(f"/letters/{turn}", "x" * (MAX_HELD * 7 // 16))[0], 200)
            may_start.set()
            self.site.wait_until("both uploads wait for their last part",
                                 lambda: self.site.status()["heldBytes"] >= sum(sizes) - 2, seconds=3)
            for upload in uploads:
                upload.may_finish.set()
            for upload in uploads:
                upload.thread.join(30)
                self.assertIn(b"HTTP/1.1 200", upload.answer[:20])

    # Guards against bodies that are received although they can never be admitted.
    def test_body_that_can_never_be_admitted_is_rejected_by_its_head(self):
        host, port = self.site.entry.split(":")
        head = (f"POST /letters/1 HTTP/1.1\r\nHost: site.example\r\nAuthorization: Token {KEY}\r\n"
                f"Content-Length: {MAX_HELD}\r\n\r\n")
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(head.encode())
            answer = connection.recv(65536)
        self.assertIn(b"HTTP/1.1 413", answer[:20])
        self.assertIn(b"Seamarch-Outcome: not-run", answer)


if __name__ == "__main__":
    unittest.main()
