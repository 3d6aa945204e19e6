"""Checks that an upstream is given no more time than the caller has left.

The failure: a gateway counted the deadline of a request from the last byte of its body, so that the time of a slow upload
was handed to the upstream once more, and the answer came after the caller's time.
"""

import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402
from halfclosed_test import receive_all, request  # noqa: E402
from unframedanswer_test import UnframedUpstream, whole  # noqa: E402

DEADLINE_MS = 4000
UPLOAD_S = 1.5
TOLERANCE_MS = 500


class SlowUploadTest(unittest.TestCase):
    # Guards against deadlines that count from the end of an upload.
    def test_time_of_the_upload_is_not_handed_to_the_upstream(self):
        runs = []
        upstream = UnframedUpstream(whole, runs)
        self.addCleanup(upstream.close)
        with GatewaySite(upstreams=0) as site:
            site.upstreams["u-1"] = upstream.address
            site.list_upstream("u-1")
            site.wait_until("the gateway lists the upstream", lambda: site.status()["upstreams"] == 1)
            host, port = site.entry.split(":")
            with socket.create_connection((host, int(port)), timeout=6) as connection:
                text = request("/status/1", "slow", "Connection: close")
                connection.sendall(text[:-1])
                time.sleep(UPLOAD_S)
                connection.sendall(text[-1:])
                self.assertIn(b"served", receive_all(connection))
        left = DEADLINE_MS - 1000 * UPLOAD_S
        given = int(runs[0]["Seamarch-Deadline-Ms"])
        self.assertLessEqual(given, left + TOLERANCE_MS, f"the caller had {left:.0f} ms left, the upstream got {given} ms")


if __name__ == "__main__":
    unittest.main()
