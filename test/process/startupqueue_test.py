"""Checks that the requests that a gateway has queued at its start do not delay later ones.

The failure: while the queue was not empty, every new request joined it, also once there was a configuration, and the
queue released 40 requests a second. A gateway with more traffic than that never served a request in time again.
"""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import call, control  # noqa: E402

QUEUED = 80


def ask(site, number, **more):
    headers = {"Host": "site.example", "Seamarch-Request-Id": f"s-{number}", "Authorization": f"Token {KEY}", **more}
    return call(site.entry, f"/status/{number}", "x", headers, 10, "POST")[0]


class StartupQueueTest(unittest.TestCase):
    def start_without_configuration(self, site):
        """Starts the gateway anew and lets it queue requests. Returns their threads and statuses."""
        site.gateway.end()
        control(site.store, {"remove": ["op/config"]})
        site.start_gateway()
        site.wait_until("the gateway knows its upstreams",
                        lambda: call(site.operators, "/readyz", timeout=2)[0] == 503 and site.status()["upstreams"])
        statuses = []
        threads = [threading.Thread(target=lambda number=number: statuses.append(ask(site, number)))
                   for number in range(QUEUED)]
        for thread in threads:
            thread.start()
        return threads, statuses

    # Guards against a queue that requests join although there is a configuration.
    def test_request_that_comes_after_the_configuration_is_served_within_its_deadline(self):
        with GatewaySite() as site:
            threads, statuses = self.start_without_configuration(site)
            site.wait_until("the gateway queues the requests", lambda: site.events().count("request.held") == QUEUED)
            site.publish(2)
            site.wait_until("the gateway is ready", lambda: call(site.operators, "/readyz", timeout=2)[0] == 200)
            late = ask(site, "late", **{"Seamarch-Deadline-Ms": "1000"})
            for thread in threads:
                thread.join()
            self.assertEqual(late, 200, "the request waited behind those of the start")
            self.assertEqual(len(statuses), QUEUED)
            self.assertLessEqual(set(statuses), {200, 503}, "a queued request was lost")

    # Guards against a drain that does not end while traffic goes on.
    def test_queue_is_empty_soon_after_the_configuration(self):
        with GatewaySite() as site:
            threads, _ = self.start_without_configuration(site)
            site.publish(2)
            site.wait_until("the gateway is ready", lambda: call(site.operators, "/readyz", timeout=2)[0] == 200)
            end = time.monotonic() + 2
            number = QUEUED
            while time.monotonic() < end:
                threads.append(threading.Thread(target=ask, args=(site, number), daemon=True))
                threads[-1].start()
                number += 1
                time.sleep(0.01)
            for thread in threads:
                thread.join()
            held = site.events().count("request.held")
            self.assertLessEqual(held, QUEUED, f"{held - QUEUED} requests were queued after the configuration")


if __name__ == "__main__":
    unittest.main()
