"""Checks that a gateway with few descriptors left serves the callers that it has accepted.

The failure: callers that hold idle connections took all descriptors. The gateway could open no connection to an
upstream and refused every request, although upstreams had free places, and it polled the connections that it could
not accept without a pause, which took a whole core.

The log line `accept.paused` shows that further connections wait.
"""

import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402
from halfclosed_test import request  # noqa: E402
from localsite import BIN, Process, call  # noqa: E402

MAX_DESCRIPTORS = 80
CALLERS = 100
MAX_BUSY_SHARE = 0.5  # Of a core, while connections wait to be accepted.


class FewDescriptorsSite(GatewaySite):
    def start_gateway(self):
        command = f"ulimit -n {MAX_DESCRIPTORS}; exec {os.path.join(BIN, 'seamarchd')} gateway --config {self.settings.name}"
        self.gateway = Process(["sh", "-c", command], self.log)
        self.processes.append(self.gateway)


class DescriptorsTest(unittest.TestCase):
    def setUp(self):
        self.site = FewDescriptorsSite()
        self.addCleanup(self.site.__exit__)
        host, port = self.site.entry.split(":")
        self.callers = [socket.create_connection((host, int(port)), timeout=3) for _ in range(CALLERS)]
        time.sleep(0.3)

    def leave(self):
        for caller in self.callers:
            caller.close()

    def busy_seconds(self):
        with open(f"/proc/{self.site.gateway.popen.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    # Guards against idle callers who leave no descriptor for the connections to upstreams.
    def test_accepted_callers_are_served(self):
        self.addCleanup(self.leave)
        first = self.callers[:10]
        for number, caller in enumerate(first):
            caller.sendall(request("/status/1", f"few-{number}"))
        statuses = [caller.recv(65536).split(b"\r\n")[0] for caller in first]
        self.assertEqual(statuses, [b"HTTP/1.1 200 OK"] * len(first))

    # Guards against a loop that polls connections which it cannot accept.
    def test_waiting_connections_take_no_processor_time(self):
        self.addCleanup(self.leave)
        before = self.busy_seconds()
        time.sleep(2)
        share = (self.busy_seconds() - before) / 2
        self.assertLess(share, MAX_BUSY_SHARE, f"the gateway used {share:.0%} of a core while callers waited")

    def test_waiting_callers_are_accepted_once_others_have_left(self):
        self.leave()
        self.site.wait_until("a new caller is served", lambda: self.site.ask("/status/1", timeout=2)[0] == 200)
        self.assertEqual(call(self.site.operators, "/readyz", timeout=2)[0], 200)


if __name__ == "__main__":
    unittest.main()
