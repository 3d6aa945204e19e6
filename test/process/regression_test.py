"""Tests of scripts/regression.py with generated journal entries; the benchmark program is not needed."""

import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import regression  # noqa: E402


def entry(worth, whole=0.8, refused_again=0.01, gate=True, finished=True):
    day = {"name": "trouble-1", "G": worth, "gate": gate,
           "parts": [["whole day", 0.5, whole]],
           "prices": [["worth refused again", 12.0, refused_again]]}
    return {"id": "abc", "ok": finished, "error": None if finished else "the run did not finish",
            "argv": [".../some-site.toml", "--jobs", "2"], "days": [day] if finished else []}


class RegressionTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.figures = self.folder / "figures.json"
        self.figures.write_text(json.dumps({"sites": {}}))
        self.addCleanup(setattr, regression, "FIGURES", regression.FIGURES)
        regression.FIGURES = self.figures

    def run_with(self, *arguments):
        """Returns the exit status and the printed output."""
        self.addCleanup(setattr, sys, "argv", sys.argv)
        sys.argv = ["regression", *map(str, arguments)]
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            try:
                status = regression.main()
            except SystemExit as ended:
                status = ended.code
        return status, output.getvalue()

    def write(self, **figures):
        path = self.folder / "entry.json"
        path.write_text(json.dumps(entry(**figures)))
        return path

    def test_day_within_the_margin_holds(self):
        self.assertEqual(self.run_with("--read", self.write(worth=0.50), "--take")[0], 0)
        status, output = self.run_with("--read", self.write(worth=0.471))
        self.assertEqual(status, 0, output)

    def test_day_that_fell_fails_and_names_the_cause(self):
        self.run_with("--read", self.write(worth=0.50), "--take")
        status, output = self.run_with("--read", self.write(worth=0.40, refused_again=0.11))
        self.assertEqual(status, 1)
        self.assertIn("worth refused again costs more (0.100)", output)

    def test_failed_gate_fails_whatever_the_worth(self):
        status, output = self.run_with("--read", self.write(worth=0.9, gate=False))
        self.assertEqual(status, 1)
        self.assertIn("GATE FAILED", output)

    def test_run_that_did_not_finish_is_no_result(self):
        status, output = self.run_with("--read", self.write(worth=0.9, finished=False), "--take")
        self.assertEqual(status, 2)
        self.assertIn("did not finish", output)
        self.assertEqual(json.loads(self.figures.read_text()), {"sites": {}})

    def test_file_that_is_no_entry_is_said_so(self):
        path = self.folder / "other.json"
        path.write_text("not json")
        status, output = self.run_with("--read", path)
        self.assertEqual(status, 2)
        self.assertIn("no entry of the journal", output)

    def test_unknown_deployment_is_said_so(self):
        status, output = self.run_with("--bench", "x", "--sites", "y", "nowhere")
        self.assertEqual(status, 2)
        self.assertIn("no deployment named nowhere", output)


if __name__ == "__main__":
    unittest.main()
