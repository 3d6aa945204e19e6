#!/usr/bin/env python3
"""Scores the users' deployments and compares each day with the committed baseline.

Usage:
  scripts/regression --bench PROGRAM --sites FOLDER [--jobs N] [NAME...]
  scripts/regression --read ENTRY... [--take]

The first form scores the deployments (all, or those named) with the users' benchmark program, one
after the other, and compares the results. FOLDER is the users' folder that holds the site files;
docs/measurements/regression.json lists their paths relative to it. The second form compares existing
entries of journal/. --take stores their figures as the new baseline.

A day fails if its worth is below the baseline by more than the margin or if its gate failed. For each
day that fell, the parts and prices with the largest losses are printed. The exit status is 0 if no day
failed, 1 if a day failed, and 2 if the arguments are invalid or a run did not finish.
"""

import argparse
import json
import pathlib
import subprocess
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
FIGURES = REPOSITORY / "docs" / "measurements" / "regression.json"
JOURNAL = REPOSITORY / "journal"
# The largest loss of worth per day that the users accept for existing deployments.
MARGIN = 0.03
# The number of causes printed for a day that fell.
MAX_CAUSES = 3


class RegressionError(Exception):
    """A run did not finish, or a file is not a journal entry."""


def read_entry(path):
    """Returns the deployment's name and its snapshot id and days. Raises RegressionError."""
    try:
        entry = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise RegressionError(f"{path}: no entry of the journal: {error}") from error
    if not entry.get("ok") or not entry.get("days"):
        raise RegressionError(f"{path}: the run did not finish: {entry.get('error') or 'no days'}")
    days = {}
    for day in entry["days"]:
        days[day["name"]] = {
            "worth": day["G"],
            "gate": day["gate"],
            "parts": {name: round(weight * value, 4) for name, weight, value in day["parts"]},
            "prices": {name: round(price, 4) for name, _, price in day["prices"] if price > 0},
        }
    site = pathlib.PurePath(entry["argv"][0]).stem
    return site, {"snapshot": entry["id"], "days": days}


def recurring_days(days):
    """Returns the days that are the same in every run, without the randomly drawn "fresh-" days."""
    return {name: day for name, day in days.items() if not name.startswith("fresh-")}


def describe_losses(before, now):
    """Returns the parts that earn less and the prices that cost more, largest loss first."""
    losses = []
    for name, value in before["parts"].items():
        losses.append((value - now["parts"].get(name, 0.0), f"{name} earns less"))
    for name in set(before["prices"]) | set(now["prices"]):
        more = now["prices"].get(name, 0.0) - before["prices"].get(name, 0.0)
        losses.append((more, f"{name} costs more"))
    worst = sorted(losses, reverse=True)[:MAX_CAUSES]
    return ", ".join(f"{name} ({loss:.3f})" for loss, name in worst if loss > 0)


def compare(site, before, now):
    """Prints one line per day and returns the number of days that failed."""
    failed = 0
    for name, day in now["days"].items():
        old = before["days"].get(name)
        fell = old is not None and day["worth"] < old["worth"] - MARGIN
        was = "" if old is None else f" (before {old['worth']:.3f})"
        verdict = "FELL" if fell else "ok"
        if not day["gate"]:
            verdict = "GATE FAILED"
        why = f": {describe_losses(old, day)}" if fell else ""
        print(f"{site:28} {name:12} {day['worth']:7.3f}{was}  {verdict}{why}")
        failed += 1 if fell or not day["gate"] else 0
    return failed


def score_deployment(options, path):
    """Scores one deployment and returns the path of the journal entry that the bench wrote."""
    earlier = set(JOURNAL.glob("*.json"))
    site = pathlib.Path(options.sites) / path
    command = [options.bench, "score", str(site), "--jobs", str(options.jobs), "--why", "regression"]
    subprocess.run(command, cwd=REPOSITORY, check=False, stdout=subprocess.DEVNULL)
    fresh = sorted(set(JOURNAL.glob("*.json")) - earlier)
    if not fresh:
        raise RegressionError(f"{site}: the bench wrote no journal entry; run it by hand to see its output")
    return fresh[-1]


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("names", nargs="*", metavar="NAME", help="deployments as named in regression.json (default: all)")
    parser.add_argument("--bench", help="the users' benchmark program")
    parser.add_argument("--sites", help="the users' folder with the site files")
    parser.add_argument("--jobs", type=int, default=2, help="days scored in parallel (default 2)")
    parser.add_argument("--read", nargs="+", metavar="ENTRY", help="compare these journal entries instead of scoring")
    parser.add_argument("--take", action="store_true", help="store the figures of the entries as the new baseline")
    options = parser.parse_args()
    if not options.read and not (options.bench and options.sites):
        parser.error("either --read or both --bench and --sites are required")
    if options.take and not options.read:
        parser.error("--take requires --read")
    return options


def main():
    options = parse_arguments()
    figures = json.loads(FIGURES.read_text())
    unknown = set(options.names) - set(figures["sites"])
    if unknown:
        print(f"regression: no deployment named {', '.join(sorted(unknown))}; there are "
              f"{', '.join(figures['sites'])}", file=sys.stderr)
        return 2
    try:
        if options.read:
            entries = [pathlib.Path(path) for path in options.read]
        else:
            names = options.names or list(figures["sites"])
            entries = [score_deployment(options, figures["sites"][name]["path"]) for name in names]
        results = [read_entry(path) for path in entries]
    except RegressionError as error:
        print(f"regression: {error}", file=sys.stderr)
        return 2
    failed = 0
    for site, now in results:
        known = figures["sites"].setdefault(site, {"path": "", "days": {}})
        failed += compare(site, known, now)
        if options.take:
            known.update({"snapshot": now["snapshot"], "days": recurring_days(now["days"])})
    if options.take:
        FIGURES.write_text(json.dumps(figures, indent=1) + "\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
