"""Checks that a call which crashes every upstream that runs it is stopped although its callers leave.

The failure: when a caller leaves, the entry forgets the call and the agent closes its connection to the
upstream. The crash that follows is counted by neither, so the call crashes upstreams for as long as it is
repeated. leavingcallers_test.py covers the same failure at gateways.
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
import crashingcall_test  # noqa: E402
from process_test import AUTH  # noqa: E402
from localsite import control, leave  # noqa: E402

CRASH_DELAY_MS = 30  # From the arrival of the call.
PATIENCE_S = 0.015   # Callers leave so long after they have sent the call.
REPEAT_S = 10


class LeavingCallTest(crashingcall_test.CrashingCallCase):
    upstream_settings = {"endsOn": "poison", "delayMs": CRASH_DELAY_MS}

    # Guards against crashes that are not counted because the call's caller has left.
    def test_call_is_stopped(self):
        entries = list(self.site.entries.values())
        started = time.monotonic()
        asked = 0
        while time.monotonic() - started < REPEAT_S:
            leave(entries[asked % len(entries)], "/services/portal/status", "poison",
                  {"Host": "site.example", **AUTH}, after=PATIENCE_S)
            asked += 1
            time.sleep(0.2)
        ends = list(self.ends)
        self.assertGreater(len(ends), 0, "no upstream crashed; the test is inconclusive")
        late = [end for end in ends if len(ends) >= 3 and end > ends[2] + crashingcall_test.PROPAGATION_S]
        self.assertLessEqual(len(late), 3, f"{len(ends)} upstreams crashed, {len(late)} of them later than "
                             f"{crashingcall_test.PROPAGATION_S} s after the third; expected 3 at most")


if __name__ == "__main__":
    unittest.main()
