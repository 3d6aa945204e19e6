"""Checks that scripts/run-tests tolerates failures of the tests in KNOWN-RED.txt and no others."""

import os
import shutil
import subprocess
import tempfile
import unittest

SCRIPT = os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "run-tests")


def executable(path, flags):
    return os.open(path, flags, 0o755)


class KnownRedTest(unittest.TestCase):
    def run_tests(self, lines, ctest=None, **tests):
        """Runs the script on a build with `tests` (name to command) and returns its status and output.
        `ctest` is the text of a script to run in place of ctest."""
        with tempfile.TemporaryDirectory() as folder:
            with open(os.path.join(folder, "CTestTestfile.cmake"), "w", encoding="utf-8") as file:
                file.writelines(f'add_test({name} "{command}")\n' for name, command in tests.items())
            listed = os.path.join(folder, "KNOWN-RED.txt")
            with open(listed, "w", encoding="utf-8") as file:
                file.writelines(line + "\n" for line in lines)
            environment = dict(os.environ)
            if ctest:
                with open(os.path.join(folder, "ctest"), "w", encoding="utf-8", opener=executable) as file:
                    file.write(ctest)
                environment["PATH"] = folder + os.pathsep + environment["PATH"]
            done = subprocess.run([SCRIPT, folder, listed], capture_output=True, text=True, check=False,
                                  env=environment)
            return done.returncode, done.stdout

    LINE = "bad | a fault | issue 7 | ctest -R bad, it fails"

    def test_passes_over_a_listed_test_that_fails_and_prints_it(self):
        code, text = self.run_tests(["# a comment", self.LINE], good="/bin/true", bad="/bin/false")
        self.assertEqual(code, 0, text)
        self.assertIn("known red: " + self.LINE, text)

    def test_fails_on_a_listed_test_that_passes(self):
        code, text = self.run_tests([self.LINE], good="/bin/true", bad="/bin/true")
        self.assertNotEqual(code, 0)
        self.assertIn("bad passes now", text)

    def test_fails_on_a_test_that_is_not_listed(self):
        code, _ = self.run_tests([self.LINE], good="/bin/false", bad="/bin/false")
        self.assertNotEqual(code, 0)

    def test_fails_on_a_name_that_only_begins_like_a_test(self):
        code, text = self.run_tests(["ba | a fault | issue 7 | seen"], bad="/bin/false")
        self.assertNotEqual(code, 0)
        self.assertIn("there is no test ba", text)

    def test_finds_a_listed_test_although_ctest_prints_more_lines_after_it(self):
        # If the script closes the pipe at the match, the next write kills ctest and the lookup fails.
        slow = ('#!/bin/sh\ncase "$*" in\n*" -N "*) echo "  Test #1: bad"; sleep 0.3; echo; echo "Total Tests: 1" ;;\n'
                f'*) exec {shutil.which("ctest")} "$@" ;;\nesac\n')
        code, text = self.run_tests([self.LINE], ctest=slow, good="/bin/true", bad="/bin/false")
        self.assertEqual(code, 0, text)

    def test_fails_on_a_line_that_says_too_little(self):
        code, _ = self.run_tests(["bad | a fault"], good="/bin/true", bad="/bin/false")
        self.assertNotEqual(code, 0)

    def test_fails_on_more_than_three_lines(self):
        lines = [f"bad{n} | a fault | issue 7 | seen" for n in range(4)]
        tests = {f"bad{n}": "/bin/false" for n in range(4)}
        code, text = self.run_tests(lines, good="/bin/true", **tests)
        self.assertNotEqual(code, 0)
        self.assertIn("3 at most", text)


if __name__ == "__main__":
    unittest.main()
