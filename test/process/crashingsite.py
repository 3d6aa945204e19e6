"""A site whose upstreams are processes of crashingupstream.py, restarted under a new id after each crash."""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
from crashingrequest_test import RESTART_DELAY_S  # noqa: E402
from crashingupstream import EXIT_CODE  # noqa: E402
from gateway_test import GatewaySite  # noqa: E402
from localsite import Process, free_address  # noqa: E402

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "crashingupstream.py")


class CrashingSite(GatewaySite):
    """Runs a store, upstreams that crash as `behaviour` says, and one gateway on loopback."""

    behaviour = {}  # The settings of crashingupstream.py.

    def __init__(self, upstreams, **more):
        super().__init__(upstreams=0, **more)
        self.running = {}
        for number in range(upstreams):
            self.start_upstream(f"i-{number + 1}", free_address())

    def start_upstream(self, name, address):
        process = Process([sys.executable, PROGRAM, address, name, json.dumps(self.behaviour)], self.log)
        self.processes.append(process)
        self.running[name] = process
        self.upstreams[name] = address
        self.list_upstream(name)

    def set_all(self, **change):
        """The upstreams have no control interface: their settings are those of the class."""


def crashing_site(**behaviour):
    """Returns a type of site whose upstreams have these settings."""
    return type("SiteOfCrashes", (CrashingSite,), {"behaviour": behaviour})


class CrashingSiteRestarter:
    """Restarts upstreams that have crashed, and records when they did."""

    def __init__(self, site, upstreams):
        self.site, self.ends, self.number, self.stopped = site, [], upstreams, False
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        while not self.stopped:
            for name, process in list(self.site.running.items()):
                if process.popen.poll() == EXIT_CODE:
                    self.ends.append(time.monotonic())
                    time.sleep(RESTART_DELAY_S)
                    self.number += 1
                    self.site.running.pop(name)
                    self.site.start_upstream(f"i-{self.number}", self.site.upstreams.pop(name))
            time.sleep(0.01)

    def stop(self):
        self.stopped = True
        self.thread.join()
