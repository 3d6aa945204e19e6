"""Checks that scripts/run-tests tolerates failures of the tests in KNOWN-RED.txt and no others."""

import os
import subprocess
import tempfile
import unittest

SCRIPT = os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "run-tests")


class KnownRedTest(unittest.TestCase):
    def run_tests(self, lines, **tests):
        """Runs the script on a build with `tests` (name to command) and returns its status and output."""
        with tempfile.TemporaryDirectory() as folder:
            with open(os.path.join(folder, "CTestTestfile.cmake"), "w", encoding="utf-8") as file:
                file.writelines(f'add_test({name} "{command}")\n' for name, command in tests.items())
            listed = os.path.join(folder, "KNOWN-RED.txt")
            with open(listed, "w", encoding="utf-8") as file:
                file.writelines(line + "\n" for line in lines)
            done = subprocess.run([SCRIPT, folder, listed], capture_output=True, text=True, check=False)
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
