"""Checks that a signal to a gateway that is starting does not end it.

The failure: a process opened its addresses before it installed its signal handlers, so that a SIGHUP in between ended
it. The platform sends one whenever the settings change.
"""

import os
import signal
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402


class EarlySignalTest(unittest.TestCase):
    STARTS = 20

    # Guards against a reload that ends a gateway whose address is open already.
    def test_reload_while_the_process_starts_does_not_end_it(self):
        with GatewaySite() as site:
            host, port = site.entry.split(":")
            for start in range(self.STARTS):
                site.gateway.end()
                site.start_gateway()
                while True:
                    try:
                        socket.create_connection((host, int(port)), timeout=1).close()
                        break
                    except OSError:
                        pass
                site.gateway.send(signal.SIGHUP)
                time.sleep(0.05)
                self.assertIsNone(site.gateway.popen.poll(), f"start {start}: SIGHUP ended the gateway")


if __name__ == "__main__":
    unittest.main()
