"""Runs the sites of both users one after the other under load and prints the totals as JSON."""

import argparse
import collections
import json
import os
import subprocess
import sys

from localsite import BIN, Site, api_key_of

SITES = {
    "procurement": {"model": "bid", "service": "portal", "call": "portal/notices"},
    "tuul": {"model": "roster", "service": "coordinator", "call": "coordinator/visits"},
}


def run_site(name, seconds, log_path):
    names = SITES[name]
    accounts = [f"{name}-{index}" for index in range(10)]
    with Site(name, halls=("north", "south", "east"), log_path=log_path) as site:
        site.add_accounts(accounts[:3], share=4.0)
        site.add_accounts(accounts[3:])
        site.config["models"].append({"name": names["model"], "version": "v1"})
        path = "/" + names["call"].split("/", 1)[1]
        site.config["services"].append({"name": names["service"], "routes": [
            {"method": "POST", "path": path, "repeatable": False}]})
        site.add_pool(names["model"], 12, "engine")
        site.add_pool(names["service"], 3, "service")
        site.add_entries(6)
        site.publish_and_wait()
        load = subprocess.run(
            [os.path.join(BIN, "seamarch-bench"), "load",
             "--addresses", ",".join(site.entries.values()),
             "--keys", ",".join(api_key_of(account) for account in accounts),
             "--model", names["model"], "--service", names["call"], "--stream",
             "--callers", "32", "--seconds", str(seconds), "--tokens", "8"],
            capture_output=True, text=True, check=False)
        result = json.loads(load.stdout.splitlines()[-1])
        runs = collections.Counter(site.runs(names["service"]))
        result["duplicates"] = sum(count - 1 for count in runs.values())
        return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--log", default=os.devnull)
    options = parser.parse_args()
    totals = collections.Counter()
    for name in SITES:
        result = run_site(name, options.seconds / len(SITES), options.log)
        print(name, json.dumps(result))
        for field in ("requests", "answered", "wrong_answers", "duplicates", "refused_not_run",
                      "outcome_unknown"):
            totals[field] += result[field]
        if result["answered"] == 0:
            totals["wrong_answers"] += 1
    print(json.dumps(totals))
    return 0 if totals["wrong_answers"] == 0 and totals["duplicates"] == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
