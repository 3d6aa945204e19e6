"""Checks that a crash is recognized although the upstream's address still accepts connections.

The failure: a request crashes every upstream that runs it and is repeated at all gateways. A process that
crashes may close its connections before its listening socket, a parent process may hold the port until the
next worker runs, or a proxy may stand before the upstream. A gateway that takes an accepted connection for
a sign of life counts none of these crashes, so the request is sent on for as long as its caller repeats it.

The log line `upstream.probed` shows what the gateway found out after each broken connection.
"""

import asyncio
import os
import sys
import threading
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "..", "soak")]
from crashingpart_test import CrashingPartCase  # noqa: E402
from crashingrequest_test import CrashingRequestCase  # noqa: E402
from gateway_test import GatewaySite  # noqa: E402
from localsite import free_address  # noqa: E402
from proxy import Proxy, ProxyLoop  # noqa: E402

LINGER_MS = 60


class HeldPort(Proxy):
    """A port that a parent process holds: while no worker runs, connections wait for the next one."""

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        while True:
            try:
                _, probe = await asyncio.open_connection(host, int(port))
                probe.close()
                break
            except OSError:
                await asyncio.sleep(0.02)
        await super()._serve(reader, writer)


class FrontedSite(GatewaySite):
    """A site whose upstreams are listed at the address of a front."""

    front = Proxy  # Resets connections while its upstream does not run.

    def __init__(self, **settings):
        self.fronts, self.loop = {}, ProxyLoop()
        super().__init__(**settings)

    def __exit__(self, *exception):
        super().__exit__(*exception)
        self.loop.end()

    def list_upstream(self, name, phase="ready", **more):
        target = self.upstreams[name]
        if target not in self.fronts:
            self.fronts[target] = self.front(self.loop, free_address(), target)
        super().list_upstream(name, phase, address=self.fronts[target].address, **more)


class HeldPortSite(FrontedSite):
    front = HeldPort


class OpenPortCase(CrashingRequestCase):
    def check_stopped(self, count=3):
        """Repeats the request from all callers and checks how often upstreams get it once it is known."""
        callers = [threading.Thread(target=self.repeat, args=("/status/1", 10)) for _ in range(count)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.check_few_late_crashes()


class LingeringProcessTest(OpenPortCase):
    # Guards against crashes that are not counted because the listening socket closes late.
    def test_request_is_stopped(self):
        self.restarter.settings = {**self.restarter.settings, "lingerMs": LINGER_MS}
        self.site.set_all(lingerMs=LINGER_MS)
        self.check_stopped(count=1)  # Another copy would be refused when the process ends, and show it.


class HeldPortTest(OpenPortCase):
    site_type = HeldPortSite

    # Guards against crashes that are not counted because a parent process holds the port.
    def test_request_is_stopped(self):
        self.check_stopped()


class HeldPortPartTest(CrashingPartCase):
    site_type = HeldPortSite

    # Guards against crashes on a prompt part that are not counted because a parent process holds the port.
    def test_streams_with_the_part_are_stopped(self):
        self.check_stopped("/stream/1")


class ProxiedUpstreamTest(OpenPortCase):
    site_type = FrontedSite

    # Guards against crashes that are not counted because a proxy accepts and resets connections.
    def test_request_is_stopped(self):
        self.check_stopped()


if __name__ == "__main__":
    unittest.main()
