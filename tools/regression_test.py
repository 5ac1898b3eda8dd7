#!/usr/bin/env python3
"""Tests tools/regression.py with a stand-in for the bench."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parent / "regression.py"
# Prints what the bench prints last for `score` and `hunt`.
STAND_IN = """#!/bin/sh
case "$1" in
  score) echo "score on the standard days: 0.7"; echo "{gate}" ;;
  hunt) echo "{hunt}" ;;
esac
"""


def run_tool(gate, hunt, *arguments):
    """Returns the exit status and the output of the tool."""
    with tempfile.TemporaryDirectory() as directory:
        bench = pathlib.Path(directory) / "bench"
        bench.write_text(STAND_IN.format(gate=gate, hunt=hunt))
        bench.chmod(0o755)
        result = subprocess.run(
            [sys.executable, TOOL, "--bench", bench, "--sites", directory,
             "--only", "large", *arguments],
            cwd=directory, text=True, capture_output=True, check=False)
    return result.returncode, result.stdout


class RegressionTest(unittest.TestCase):
    HUNT = "8 days on ssl-hutmesh-large, {} with a rule broken"

    def test_passes_with_gate_and_without_broken_rules(self):
        status, output = run_tool("GATE passed", self.HUNT.format(0))
        self.assertEqual(status, 0)
        self.assertIn("pass  ssl-hutmesh-large", output)

    def test_fails_without_gate(self):
        status, output = run_tool("GATE failed", self.HUNT.format(0))
        self.assertEqual(status, 1)
        self.assertIn("FAIL  ssl-hutmesh-large", output)

    def test_fails_with_a_broken_rule(self):
        status, output = run_tool("GATE passed", self.HUNT.format(1))
        self.assertEqual(status, 1)
        self.assertIn("1 of 8 hunted days", output)

    def test_a_run_that_did_not_end_is_no_pass(self):
        self.assertEqual(run_tool("", self.HUNT.format(0))[0], 1)
        self.assertEqual(run_tool("GATE passed", "")[0], 1)

    def test_an_unknown_deployment_is_an_error(self):
        self.assertEqual(run_tool("", "", "--only", "no such")[0], 2)

    def test_a_bench_that_cannot_be_run_is_an_error(self):
        status, _ = run_tool("", "", "--bench", "/nonexistent/bench")
        self.assertEqual(status, 2)


if __name__ == "__main__":
    unittest.main()
