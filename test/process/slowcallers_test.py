"""Checks that callers that upload large bodies slowly do not exhaust a gateway's memory.

The failure: a gateway receives all uploads at once and keeps every part of them.
"""

import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402

MEGABYTE = 1024 * 1024
MAX_HELD = 4 * MEGABYTE  # Half of the setting `memory-mb`.
UPLOADS = 12
# Parts that the kernel and one read of each connection hold beyond a pause.
SLACK = UPLOADS * 64 * 1024


class Upload:
    """A caller that sends a body of 1 MB in parts, and pauses before the last one until `may_finish` is set. It
    sends nothing before `may_start` is set."""

    def __init__(self, address, number, size=MEGABYTE, may_start=None):
        self.size, self.may_start = size, may_start
        host, port = address.split(":")
        self.address = host, int(port)
        self.socket = None
        self.head = (f"POST /status/{number} HTTP/1.1\r\nHost: site.example\r\nSeamarch-Request-Id: up-{number}\r\n"
                     f"Authorization: Token {KEY}\r\nContent-Length: {size}\r\n\r\n").encode()
        self.may_finish = threading.Event()
        self.answer = b""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def connect(self):
        """Connects as soon as the gateway listens."""
        end = time.monotonic() + 10
        while self.socket is None:
            try:
                self.socket = socket.create_connection(self.address)
            except ConnectionRefusedError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.001)

    def run(self):
        self.connect()
        self.socket.settimeout(30)
        if self.may_start:
            self.may_start.wait(30)
        self.socket.sendall(self.head + b"x" * (self.size - 1))
        self.may_finish.wait(30)
        self.socket.sendall(b"x")
        self.answer = self.socket.recv(65536)
        self.socket.close()


class SlowCallersTest(unittest.TestCase):
    def setUp(self):
        self.site = GatewaySite(upstreams=2, **{"memory-mb": 2 * MAX_HELD // MEGABYTE})
        self.addCleanup(self.site.__exit__)

    def start_uploads(self):
        self.uploads = [Upload(self.site.entry, number) for number in range(UPLOADS)]
        self.site.wait_until("uploads are restricted", lambda: "memory.restricted" in self.site.events())

    def finish_all(self):
        for upload in self.uploads:
            upload.may_finish.set()
        for upload in self.uploads:
            upload.thread.join(30)

    def assert_held_bytes_stay_within_the_limit(self):
        end = time.monotonic() + 2
        most = 0
        while time.monotonic() < end:
            most = max(most, self.site.status()["heldBytes"])
            time.sleep(0.05)
        self.assertLessEqual(most, MAX_HELD + SLACK, "expected uploads to pause; see memory.restricted in the log")

    def test_held_bytes_stay_within_the_limit(self):
        self.start_uploads()
        self.assert_held_bytes_stay_within_the_limit()

    def test_held_bytes_stay_within_the_limit_from_the_first_connection_on(self):
        self.site.gateway.end()
        restart = threading.Timer(0.1, self.site.start_gateway)
        restart.start()
        self.start_uploads()
        restart.join()
        self.assert_held_bytes_stay_within_the_limit()

    def test_other_callers_are_served_meanwhile(self):
        self.start_uploads()
        for _ in range(5):
            self.assertEqual(self.site.ask("/letters/1")[0], 200)

    def test_all_uploads_are_served_or_told_that_they_have_not_run(self):
        self.start_uploads()
        self.finish_all()
        for upload in self.uploads:
            status = upload.answer.split(b" ")[1:2]
            refused = status == [b"503"] and b"Seamarch-Outcome: not-run" in upload.answer
            self.assertTrue(status == [b"200"] or refused, upload.answer[:200])
        self.assertTrue(any(upload.answer.startswith(b"HTTP/1.1 200") for upload in self.uploads))

    def test_large_upload_is_served_if_nothing_else_is_held(self):
        # Three times the body exceeds the limit, but it is held once here and copied once for sending.
        upload = Upload(self.site.entry, 1, size=MEGABYTE * 3 // 2)
        self.site.wait_until("the upload is counted", lambda: self.site.status()["heldBytes"] >= upload.size - 1)
        upload.may_finish.set()
        upload.thread.join(30)
        self.assertIn(b"HTTP/1.1 200", upload.answer[:20])


if __name__ == "__main__":
    unittest.main()
