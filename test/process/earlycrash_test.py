"""Checks that a prompt part is recognized although upstreams crash on it before they send the head of the answer.

The failure: an upstream may buffer the head until it has something to send, so a part that crashes it as it
begins to answer may leave no head. A gateway that suspects only parts of answers whose head it has seen suspects
nothing, so requests with the part crash one upstream after another.

The log line `upstream.probed` has `streaming` false for such a crash.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashingpart_test import CRASHING, CrashingPartCase  # noqa: E402
from crashingsite import CrashingSiteRestarter, crashing_site  # noqa: E402


class EarlyCrashTest(CrashingPartCase):
    restarter_type = CrashingSiteRestarter
    site_type = crashing_site(endsOnPart=CRASHING, point="request")

    # Guards against crashes on a prompt part that are held against no part because no head was sent.
    def test_streams_with_the_part_are_stopped(self):
        self.check_stopped("/stream/1")


if __name__ == "__main__":
    unittest.main()
