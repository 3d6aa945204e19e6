"""Checks that a gateway which is told to stop cuts off no request that it accepts late.

The failure: a gateway accepted streams until 3.2 s after SIGTERM and cut them off when its time was over, although
only requests of the first 3 s may be cut off.

The log line `gateway.stopped` has the number of requests that were cut off.
"""

import os
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402
from halfclosed_test import receive_all, request  # noqa: E402

EXCUSED_S = 3.0      # Requests sent so long after SIGTERM may be cut off when the time is over.
STOP_LIMIT_S = 8
EVENT_DELAY_MS = 600
LAST_EVENT = b"id: 10\n"


class DeploymentSite(GatewaySite):
    stop_settings = f"stop-limit-s = {STOP_LIMIT_S}\n"


class PlannedStopTest(unittest.TestCase):
    SENT_AFTER_S = [2.5, 2.7, 2.8, 2.9, 2.95, 3.02, 3.05, 3.08, 3.11, 3.14, 3.17, 3.3]

    def setUp(self):
        self.site = DeploymentSite()
        self.addCleanup(self.site.__exit__)
        self.answers = {}

    def ask(self, stopped_at, after):
        host, port = self.site.entry.split(":")
        with socket.create_connection((host, int(port)), timeout=12) as connection:
            time.sleep(max(0.0, stopped_at + after - time.monotonic()))
            try:
                connection.sendall(request("/stream/1", f"stopping-{after}").replace(b"4000", b"8000"))
            except OSError:
                return  # Not read.
            self.answers[after] = receive_all(connection)

    def stop_while_streams_come(self, *signals):
        self.site.set_all(delayMs=EVENT_DELAY_MS)
        stopped_at = time.monotonic()
        self.site.gateway.send(signal.SIGTERM)
        threads = [threading.Thread(target=self.ask, args=(stopped_at, after)) for after in self.SENT_AFTER_S]
        for thread in threads:
            thread.start()
        for number in signals:
            time.sleep(0.3)
            self.site.gateway.send(number)
        for thread in threads:
            thread.join()
        cut = {after: answer[-60:] for after, answer in self.answers.items()
               if after > EXCUSED_S and answer.startswith(b"HTTP/1.1 200") and LAST_EVENT not in answer}
        self.assertEqual(cut, {}, f"expected streams sent later than {EXCUSED_S} s after SIGTERM to be refused or to "
                         "be answered to their end")

    # Guards against streams that are accepted too late to be answered before the process ends.
    def test_late_streams_are_refused(self):
        self.stop_while_streams_come()

    def test_reload_does_not_prolong_the_stop(self):
        self.stop_while_streams_come(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGHUP)


if __name__ == "__main__":
    unittest.main()
