"""Checks that gateways become ready whatever the store's list of items looks like.

The store answers a list in pages and names a key as the end of each page; keys and values of other writers
are in the same list. Gateways are started again while nobody else can tell them the configuration.
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402
from localsite import call, control, free_address  # noqa: E402

# Keys with characters that have another meaning in the query of a URL, in a request line, or in both.
KEYS = ("a00%25", "a01%00", "a02&b=", "a03+", "a04%C3%A9", "a05 b", "a06\u00e9", "a07#b", "a08?since-rev=b",
        "a09\r\nX: y", "a10\"\\b", "a11/../b")
READY_S = 12.0  # Time within which gateways must serve after all machines have come back.
CONFIRMED_S = 8.0  # Longer than the time for which a confirmation by the store lasts.
MAX_VALUE_BYTES = 1_048_576  # Of one item of a deployment's store.
CALLS_PER_S = 2000 / 18  # Reading calls that the store of a site bears, for each of its machines.


class PagedListTest(unittest.TestCase):
    def setUp(self):
        self.seed = free_address()
        self.site = GatewaySite(**{"peer-listen": self.seed, "seeds": self.seed})
        self.addCleanup(self.site.__exit__)

    def store(self, **change):
        return control(self.site.store, change)

    def restart(self):
        """Returns whether the gateway is ready and serves within the time allowed."""
        self.site.gateway.end()
        self.site.start_gateway()
        try:
            self.site.wait_until("the gateway is ready",
                                 lambda: call(self.site.operators, "/readyz", timeout=2)[0] == 200, READY_S)
        except RuntimeError:
            return False
        return self.site.ask("/letters/1")[0] == 200

    # Guards against a list that never ends because the key at the end of a page is not encoded.
    def test_gateway_is_ready_whatever_key_ends_a_page(self):
        self.store(pageItems=1)
        for key in KEYS:
            with self.subTest(key=key):
                places = [key, f"op/{key}"]
                self.store(putText={place: "x" for place in places})
                ready = self.restart()
                self.store(remove=places)
                self.assertTrue(ready, f"not ready {READY_S} s after its start")

    # Guards against a list that begins anew after each failure and so never ends.
    def test_list_of_many_pages_ends_though_calls_fail(self):
        self.store(pageItems=1, failEvery=5, putText={f"op/a{number:02}": "x" for number in range(9)})
        for failure in ("refused", "unanswered", "cut off", "unreadable"):
            with self.subTest(failure=failure):
                self.store(failure=failure)
                self.assertTrue(self.restart(), f"not ready {READY_S} s after its start")

    # Guards against a list that joins pages from before and after the store went back to an older copy.
    def test_list_begins_anew_when_the_store_goes_back_meanwhile(self):
        self.store(copy=True)
        self.site.publish(2, ("new",))
        self.store(pageItems=1, listDelayMs=200, failEvery=3, putText={"op/a": "x", "op/b": "x"})
        self.site.gateway.end()
        self.site.start_gateway()
        before = self.store()["listCalls"]
        self.site.wait_until("some pages have been listed", lambda: self.store()["listCalls"] > before + 2)
        self.store(goBack=True)
        self.site.publish(3, ("newer",))
        self.site.wait_until("version 3", lambda: self.site.status()["configVersion"] == 3, READY_S)
        self.assertEqual([self.site.ask("/letters/1", key=key)[0] for key in ("newer", "new")], [200, 401])

    # Guards against the same, with a store whose calls succeed and whose revision has passed that of the first page.
    def test_pages_of_two_eras_are_not_joined(self):
        self.store(copy=True)
        self.site.publish(2, ("new",))
        self.store(pageItems=1, listDelayMs=200, putText={f"op/x{number}": "x" for number in range(4)})
        self.site.gateway.end()
        before = self.store()["listCalls"]
        self.site.start_gateway()
        self.site.wait_until("the configuration has been listed", lambda: self.store()["listCalls"] > before + 2)
        self.store(goBack=True)
        self.site.publish(3, ("newer",))
        self.store(putText={f"op/y{number}": "x" for number in range(9)})
        self.site.wait_until("version 3", lambda: self.site.status()["configVersion"] == 3, READY_S)

    # Guards against a gateway that counts the time in which it did not reach the store as the age of its list.
    def test_first_list_after_an_outage_is_recent(self):
        self.store(busy=True)
        self.site.gateway.end()
        earlier = len(self.site.log_text())
        self.site.start_gateway()
        time.sleep(CONFIRMED_S)
        self.store(busy=False)
        self.site.wait_until("the gateway is ready",
                             lambda: call(self.site.operators, "/readyz", timeout=2)[0] == 200, READY_S)
        self.assertNotIn("has not confirmed", self.site.log_text()[earlier:])

    # Guards against gateways that call the store as often as other writers write to it.
    def test_writes_of_others_do_not_set_the_rate_of_watches(self):
        before, until, after = self.store()["calls"], time.monotonic() + 4.0, 0
        while time.monotonic() < until:
            after = self.store(putText={"zz": "x"})["calls"]
        self.assertLessEqual((after - before) / 4.0, CALLS_PER_S)

    # Guards against a start that takes as long as others like, because it reads all that they keep in the store.
    def test_items_of_other_writers_are_not_listed(self):
        others = {f"a{number:02}": "x" for number in range(20)} | {f"q/{number}": "x" for number in range(20)}
        self.store(pageItems=1, putText=others)
        before = self.store()["listCalls"]
        self.assertTrue(self.restart(), f"not ready {READY_S} s after its start")
        own = 1 + len(self.site.upstreams)  # The configuration and the entries of the upstreams.
        self.assertLessEqual(self.store()["listCalls"] - before, own)

    def calls_per_second(self, seconds=3.0):
        before = self.store()["calls"]
        time.sleep(seconds)
        return (self.store()["calls"] - before) / seconds

    # Guards against a gateway that overloads a store whose pages make no progress.
    def test_store_that_repeats_a_page_is_not_called_without_a_pause(self):
        self.store(pageItems=1, repeatPage=True)
        self.site.gateway.end()
        self.site.start_gateway()
        time.sleep(1.0)
        self.assertLessEqual(self.calls_per_second(), CALLS_PER_S)
        self.assertIn("list repeats a page", self.site.log_text())
        self.store(repeatPage=False)
        self.site.wait_until("the gateway is ready",
                             lambda: call(self.site.operators, "/readyz", timeout=2)[0] == 200, READY_S)

    # Guards against a gateway that overloads a store whose history is gone before a list has ended.
    def test_store_without_a_history_is_not_called_without_a_pause(self):
        self.store(noHistory=True)
        self.assertTrue(self.restart(), f"not ready {READY_S} s after its start")
        self.assertLessEqual(self.calls_per_second(), CALLS_PER_S)
        self.site.publish(2, ("new",))
        self.site.wait_until("version 2", lambda: self.site.status()["configVersion"] == 2, 2.0)
        self.assertEqual(self.site.ask("/letters/1", key="new")[0], 200)

    def assert_stays_ready(self):
        end = time.monotonic() + CONFIRMED_S
        while time.monotonic() < end:
            self.assertEqual(call(self.site.operators, "/readyz", timeout=2)[0], 200)
            time.sleep(0.2)

    # Guards against a gateway that loses its readiness because it repeats a watch whose answer, with items of
    # other writers, is always too long.
    def test_gateway_stays_ready_though_others_have_written_more_than_one_answer_may_hold(self):
        self.store(busy=True)
        for number in range(13):
            self.store(putText={f"z{number:02}": "x" * MAX_VALUE_BYTES})
        self.store(busy=False)
        self.assert_stays_ready()

    # Guards against the same with an answer that cannot be read, or never arrives whole.
    def test_gateway_stays_ready_though_a_watch_is_never_answered_well(self):
        for number, failure in enumerate(("unreadable", "cut off"), 2):
            with self.subTest(failure=failure):
                self.store(failWatches=True, failure=failure, putText={"z": failure})
                self.assert_stays_ready()
                self.assertLessEqual(self.calls_per_second(), CALLS_PER_S)
                self.site.publish(number, (failure,))
                self.site.wait_until("the version", lambda: self.site.status()["configVersion"] == number, 2.0)


if __name__ == "__main__":
    unittest.main()
