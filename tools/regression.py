#!/usr/bin/env python3
"""Plays the users' bench on the deployments of the current milestone and says
for each whether it passes.

  tools/regression.py --bench DIR/bin/fleetbench --sites DIR [--days 8]
  tools/regression.py ... --only pellow-enamel

A deployment passes if its score ends with a passed gate and no hunted day broke
a rule. Each deployment is scored and hunted in turn, as both use the whole
machine. The exit status is 0 if all pass, 1 if one does not, 2 if the bench
could not be run. The output of each run goes to run/regression/, its journal
entry to journal/.
"""

import argparse
import pathlib
import re
import subprocess
import sys

# Site file and hunted days. Deployments of 60 hosts or more get fewer days.
DEPLOYMENTS = [
    ("further/pellow-enamel.toml", 40),
    ("further-grown/pellow-enamel-grown.toml", 8),
    ("large/ssl-hutmesh-large.toml", 8),
    ("grown/ssl-hutmesh-grown.toml", 8),
    ("grown/ohat-tr-grown.toml", 8),
]
OUTPUT = pathlib.Path("run/regression")
GATE = re.compile(r"GATE (passed|failed)")
HUNT = re.compile(r"(\d+) days on \S+, (\d+) with a rule broken")


def play(arguments, name):
    """Runs the bench and returns its output, which is also kept."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    result = subprocess.run(arguments, text=True, stdout=subprocess.PIPE,
                            stderr=subprocess.STDOUT, check=False)
    (OUTPUT / f"{name}.txt").write_text(result.stdout)
    return result.stdout


def gate_of(output):
    """The gate of a score: passed or failed; None if it did not end."""
    found = GATE.search(output)
    return found and found.group(1)


def hunt_of(output):
    """The days that were hunted and those with a broken rule, or None."""
    found = HUNT.search(output)
    return found and (int(found.group(1)), int(found.group(2)))


def verdict(gate, hunt):
    """Returns the result of a deployment and what it follows from. A run that
    did not end is no pass."""
    reasons = [f"gate {gate}" if gate else "the score did not end"]
    if hunt:
        reasons.append(f"{hunt[1]} of {hunt[0]} hunted days broke a rule")
    else:
        reasons.append("the hunt did not end")
    passed = gate == "passed" and hunt is not None and hunt[1] == 0
    return ("pass" if passed else "FAIL"), "; ".join(reasons)


def main():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--sites", required=True,
                        help="directory of the site files")
    parser.add_argument("--days", type=int, default=0,
                        help="hunted days of each deployment; 0: as listed")
    parser.add_argument("--jobs", type=int, default=4, help="days at a time")
    parser.add_argument("--only", default="", help="part of a site file's name")
    options = parser.parse_args()
    chosen = [entry for entry in DEPLOYMENTS if options.only in entry[0]]
    if not chosen:
        parser.error(f"no deployment is named like {options.only!r}")
    results = []
    for path, days in chosen:
        site = pathlib.Path(options.sites) / path
        name = site.stem
        common = [str(site), "--jobs", str(options.jobs), "--why",
                  "regression run"]
        try:
            score = play([options.bench, "score", *common], f"{name}-score")
            hunt = play([options.bench, "hunt", *common, "--days",
                         str(options.days or days)], f"{name}-hunt")
        except OSError as error:
            print(f"cannot run the bench: {error}", file=sys.stderr)
            return 2
        result, reasons = verdict(gate_of(score), hunt_of(hunt))
        results.append(result)
        print(f"{result}  {name:24} {reasons}", flush=True)
    return 0 if set(results) == {"pass"} else 1


if __name__ == "__main__":
    sys.exit(main())
