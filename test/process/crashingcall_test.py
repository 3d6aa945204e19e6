"""Checks that a call which crashes every upstream that runs it is not retried on one agent after another.

The failure: an entry treats an upstream's broken connection as a failure of the agent, retries the call
at up to two other agents and keeps no record of it. Each retry by the caller, at this or another entry,
starts from nothing, so upstreams keep crashing as long as the call is repeated. The test uses three
entries in two halls. crashingrequest_test.py covers the same failure at gateways.
"""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from process_test import AUTH, QUICK_AGENT, QUICK_ENTRY  # noqa: E402
from localsite import Site, call, control  # noqa: E402

ENDED_BY_REQUEST = 70  # The stand-in's exit code when a request makes it exit.
PROPAGATION_S = 3.0    # Time in which connected entries learn of the request.


class CrashingCallCase(unittest.TestCase):
    """Three entries in two halls, and four upstreams that crash on one call."""

    upstream_settings = {"endsOn": "poison"}

    def setUp(self):
        self.site = Site("crashing", halls=("north", "south"), entry_options=QUICK_ENTRY,
                         agent_options=QUICK_AGENT, log_path=os.environ.get("SEAMARCH_TEST_LOG"))
        self.addCleanup(self.site.__exit__)
        self.site.add_accounts(["bids"], homeHall="north")
        self.site.config["services"].append({"name": "portal", "routes": [
            {"method": "POST", "path": "/letters", "repeatable": False},
            {"method": "POST", "path": "/status", "repeatable": True}]})
        self.site.add_pool("portal", 4, "service")
        self.site.add_entries(3)
        self.site.publish_and_wait()
        self.ends, self.stopped = [], False
        for name, address in self.site.upstreams.items():
            self.configure(address)
        self.restarter = threading.Thread(target=self.restart_ended_upstreams)
        self.restarter.start()
        self.addCleanup(self.stop)

    def stop(self):
        self.stopped = True
        self.restarter.join()

    def restart_ended_upstreams(self):
        """Restarts upstreams that the request has ended."""
        while not self.stopped:
            for name, address in self.site.upstreams.items():
                if self.site.processes[f"{name}.upstream"].popen.poll() == ENDED_BY_REQUEST:
                    self.ends.append(time.monotonic())
                    time.sleep(0.3)
                    self.site.restart(f"{name}.upstream")
                    self.configure(address)
            time.sleep(0.01)

    def configure(self, address):
        control(address, self.upstream_settings)

    def ask(self, path, body, entry):
        return call(entry, f"/services/portal/{path}", body, AUTH, 6)


class CrashingCallTest(CrashingCallCase):
    def check_stopped(self, path):
        entries = list(self.site.entries.values())
        started = time.monotonic()
        asked = 0
        while time.monotonic() - started < PROPAGATION_S + 5:
            self.ask(path, "poison", entries[asked % len(entries)])
            asked += 1
            time.sleep(0.2)
        late = [end for end in self.ends if end > started + PROPAGATION_S]
        self.assertEqual(len(late), 0, f"expected the call to end no upstream later than {PROPAGATION_S} s "
                         f"after its first copy, found {len(late)} of {len(self.ends)}")
        for entry in entries:
            status, headers, text = self.ask(path, "poison", entry)
            self.assertEqual(status, 503, text)
            self.assertIn("request_ends_upstreams", text)
            self.assertEqual(headers["Seamarch-Outcome"], "not-run")
            self.assertEqual(self.ask(path, "harmless", entry)[0], 200)

    def test_call_that_may_be_repeated_is_stopped(self):
        self.check_stopped("status")

    def test_call_that_may_run_once_is_stopped(self):
        self.check_stopped("letters")


if __name__ == "__main__":
    unittest.main()
