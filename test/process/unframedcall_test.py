"""Checks that crashes behind agents are recognized although answers end with their connections.

unframedcrash_test.py covers the same failure at gateways: the kernel ends the connections of a crashed process as the
upstream would, so that a call which crashes its upstream counts as answered and is sent on for as long as it comes.
"""

import json
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(__file__))
import crashingcall_test  # noqa: E402
from crashingsite import PROGRAM  # noqa: E402

BEHAVIOUR = {"plain": True, "unframed": True, "endsOn": "poison", "point": "event"}


class UnframedCallTest(crashingcall_test.CrashingCallTest):
    def configure(self, address):
        """Replaces the stand-in of an agent; a program that has been replaced needs no settings."""
        name = next(name for name, other in self.site.upstreams.items() if other == address)
        if self.site.arguments[f"{name}.upstream"][0] != sys.executable:
            self.site.processes[f"{name}.upstream"].end()
            self.site.start(f"{name}.upstream", sys.executable, PROGRAM, address, name, json.dumps(BEHAVIOUR))


# The tests of the base class run in their own program.
del crashingcall_test.CrashingCallTest

if __name__ == "__main__":
    unittest.main()
