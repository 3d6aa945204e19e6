"""Checks that names from the store change nothing but the value of the header that they stand in.

The failure: the id of an upstream or the name of a client account is written into requests as it is, so that
a line break in it adds headers, and an id that readers of headers change never matches.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite, routing  # noqa: E402
from localsite import control  # noqa: E402

# Names that can't be the value of a header, or that its readers change.
BAD = ("i-2\r\nX-Added: 1", "i-2\nX-Added: 1", "i-2\r", "i-2\0", "i-2\x7f", "i-2\x1b", " i-2", "i-2\t", "")
GOOD = ("\u00e9", "a b", 'a"b', "a/b", "a\tb")


class ForeignNamesTest(unittest.TestCase):
    def setUp(self):
        self.site = GatewaySite()
        self.addCleanup(self.site.__exit__)
        self.version = 1

    def put_upstream(self, name):
        """Lists i-2 under `name` and returns once the gateway has read the entry."""
        def read():
            return sum(event in ("upstream.listed", "store.item_unreadable") for event in self.site.events())
        before = read()
        entry = {"service": "portal", "address": self.site.upstreams["i-2"], "zone": "north", "capacity": 6,
                 "phase": "ready"}
        control(self.site.store, {"put": {f"servers/{name}": entry}})
        self.site.wait_until("the entry is read", lambda: read() > before)

    def publish(self, accounts):
        self.version += 1
        control(self.site.store, {"put": {"op/config": {**routing(self.version), "tenants": accounts}}})
        self.site.wait_until("the configuration is in force",
                             lambda: self.site.status()["configVersion"] == self.version, 5)

    def statuses(self, times=8, key=KEY):
        return {self.site.ask("/letters/1", key=key)[0] for _ in range(times)}

    def added_headers(self):
        return sum("X-Added" in run["headers"] for run in self.site.runs())

    # Guards against an id that adds a header to requests, and one that takes the upstreams from all callers.
    def test_upstream_whose_id_cannot_stand_in_a_header_is_set_aside(self):
        control(self.site.store, {"remove": ["servers/i-2"]})
        self.site.list_upstream("i-1", zone="south")  # So that i-2, in the gateway's hall, is preferred.
        for name in BAD:
            with self.subTest(name=name):
                before = self.added_headers(), self.site.runs_at("i-2")
                self.put_upstream(name)
                statuses = self.statuses()
                control(self.site.store, {"remove": [f"servers/{name}"]})
                self.assertEqual(((self.added_headers(), self.site.runs_at("i-2")), statuses), (before, {200}))

    def test_upstream_whose_id_can_stand_in_a_header_serves(self):
        control(self.site.store, {"remove": ["servers/i-1", "servers/i-2"]})
        for name in GOOD:
            with self.subTest(name=name):
                control(self.site.upstreams["i-2"], {"id": name})
                self.put_upstream(name)
                self.assertEqual(self.statuses(times=1), {200})
                control(self.site.store, {"remove": [f"servers/{name}"]})

    # Guards against a name that adds a header to requests, and against requests that run under no account's name.
    def test_only_the_account_whose_name_cannot_stand_in_a_header_is_refused(self):
        good = {"name": "bids", "api-keys": [KEY]}
        for name in BAD:
            with self.subTest(name=name):
                bad = {"name": name, "api-keys": ["other"]}
                self.publish([bad, good])
                self.assertEqual((self.statuses(1, "other"), self.statuses(1)), ({401}, {200}))
                self.publish([bad])
                self.assertEqual((self.statuses(1, "other"), self.statuses(1, "")), ({401}, {401}))
        self.assertEqual({run["account"] for run in self.site.runs()}, {"bids"})
        self.assertEqual(self.added_headers(), 0)
        self.assertIn("store.item_unreadable", self.site.events())


if __name__ == "__main__":
    unittest.main()
