"""Checks that crashes are recognized although the answers of the upstreams end with their connections.

The failure: an answer may have neither a length nor chunks, and the end of its connection completes it. The
kernel ends the connections of a process that crashes in the same way. A gateway that takes such an end for the
upstream's own counts no crash, shows callers a broken answer as a whole one, and clears what the request or the
prompt part was suspected of. So the requests go on to crash one upstream after another, and sound requests find
none that runs.

The log line `attempt.closed_by_peer` shows such an end, `upstream.probed` whether the upstream still ran.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from crashingpart_test import CRASHING, CrashingPartCase  # noqa: E402
from crashingrequest_test import CrashingRequestCase  # noqa: E402
from crashingsite import CrashingSiteRestarter, crashing_site  # noqa: E402

REPEAT_S = 10


def unframed_site(**behaviour):
    return crashing_site(unframed=True, **behaviour)


class UnframedPartCase(CrashingPartCase):
    restarter_type = CrashingSiteRestarter


class CrashAfterHeadTest(UnframedPartCase):
    site_type = unframed_site(endsOnPart=CRASHING, point="head")

    # Guards against crashes after the head of an answer that count as the end of the answer.
    def test_streams_with_the_part_are_stopped(self):
        self.check_stopped("/stream/1")

    # Guards against crashes that make an empty body look complete.
    def test_repeatable_requests_with_the_part_are_stopped(self):
        self.check_stopped("/status/1")


class CrashAfterEventTest(UnframedPartCase):
    site_type = unframed_site(endsOnPart=CRASHING, point="event")

    # Guards against crashes between two events that count as the end of the stream.
    def test_streams_with_the_part_are_stopped(self):
        self.check_stopped("/stream/1")

    # Guards against crashes inside a body that make it look complete.
    def test_requests_that_may_run_once_with_the_part_are_stopped(self):
        self.check_stopped("/letters/1")


class CrashInsideEventTest(UnframedPartCase):
    site_type = unframed_site(endsOnPart=CRASHING, point="partial")

    # Guards against crashes inside an event after which the upstream is not probed.
    def test_streams_with_the_part_are_stopped(self):
        self.check_stopped("/stream/1")


class CrashingRequestTest(CrashingRequestCase):
    restarter_type = CrashingSiteRestarter
    site_type = unframed_site(endsOn="poison", point="event")

    # Guards against crashes by which a request counts as completed.
    def test_repeatable_request_is_stopped(self):
        self.repeat("/status/1", REPEAT_S)
        self.check_few_late_crashes()

    def test_stream_is_stopped(self):
        self.repeat("/stream/1", REPEAT_S)
        self.check_few_late_crashes()


class ShortDeadlineTest(CrashingRequestCase):
    restarter_type = CrashingSiteRestarter
    site_type = unframed_site(endsOn="poison", point="event")
    DEADLINE_MS = 500  # Shorter than a probe may take.

    # Guards against crashes that are not counted because the request would fail before the probe has a result.
    def test_repeatable_request_is_stopped(self):
        self.repeat("/status/1", REPEAT_S, deadline_ms=self.DEADLINE_MS)
        self.check_few_late_crashes()

    def test_stream_is_stopped(self):
        self.repeat("/stream/1", REPEAT_S, deadline_ms=self.DEADLINE_MS)
        self.check_few_late_crashes()


if __name__ == "__main__":
    unittest.main()
