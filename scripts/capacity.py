"""Measures the cost of the control plane at idle, of the data path and of open streams."""

import json
import os
import subprocess
import time

from localsite import BIN, Site, api_key_of

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open(f"/proc/{process.popen.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def site_with(engines, entries, accounts=10, services=0):
    site = Site("capacity")
    site.add_accounts([f"account-{index}" for index in range(accounts)], homeHall="north")
    site.config["models"].append({"name": "bid", "version": "v1"})
    site.config["services"].append({"name": "portal", "routes": [
        {"method": "POST", "path": "/status", "repeatable": True}]})
    site.add_pool("bid", engines, "engine")
    site.add_pool("portal", services, "service")
    site.add_entries(entries)
    site.publish_and_wait()
    return site


def idle(engines, entries, accounts, seconds=6.0):
    """Returns the CPU, network and memory use of an entry and an agent that serve no requests."""
    with site_with(engines, entries, accounts) as site:
        time.sleep(1)
        names = {"entry": "entry-2", "agent": "bid-1"}
        before = {role: (cpu_seconds(site.processes[name]), site.status(name))
                  for role, name in names.items()}
        time.sleep(seconds)
        row = {"engines": engines, "entries": entries, "accounts": accounts}
        for role, name in names.items():
            cpu, status = before[role]
            now = site.status(name)
            row[role] = {
                "core_percent": round((cpu_seconds(site.processes[name]) - cpu) / seconds * 100, 2),
                "rpc_bytes_in": round((now["rpcBytesIn"] - status["rpcBytesIn"]) / seconds),
                "rpc_bytes_out": round((now["rpcBytesOut"] - status["rpcBytesOut"]) / seconds),
                "resident_mb": round(resident_mb(site.processes[name]), 1)}
        return row


def load(addresses, *options):
    result = subprocess.run(
        [os.path.join(BIN, "seamarch-bench"), "load", "--addresses", ",".join(addresses), *options],
        capture_output=True, text=True, check=False)
    return json.loads(result.stdout.splitlines()[-1])


def data_path():
    """Returns the throughput per core of each role and the latency that entry and agent add."""
    with site_with(1, 1, services=0) as site:
        upstream = site.upstreams["bid-1"]
        site.config["upstreams"][0]["slots"] = 64
        site.publish_config()
        site.control(upstream, {"stepMs": 0})
        key = ("--keys", api_key_of("account-0"), "--model", "bid", "--tokens", "1", "--seconds", "3")
        time.sleep(1)
        direct = load([upstream], "--model", "bid", "--tokens", "1", "--seconds", "3",
                      "--callers", "1")
        through = load([site.entries["entry-1"]], *key, "--callers", "1")
        before = {name: cpu_seconds(site.processes[name]) for name in ("entry-1", "bid-1")}
        busy = load([site.entries["entry-1"]], *key, "--callers", "32")
        spent = {name: cpu_seconds(site.processes[name]) - before[name] for name in before}
        return {"direct_p50_ms": direct["p50_ms"], "through_p50_ms": through["p50_ms"],
                "added_p50_ms": round(through["p50_ms"] - direct["p50_ms"], 3),
                "ratio_p50": round(through["p50_ms"] / direct["p50_ms"], 2),
                "requests_per_second_busy": busy["per_second"],
                "entry_requests_per_core_second": round(busy["answered"] / spent["entry-1"]),
                "agent_requests_per_core_second": round(busy["answered"] / spent["bid-1"])}


def streams(count=2000, tokens=40):
    """Returns memory per stream and CPU time per token with `count` concurrent streams."""
    with site_with(4, 1) as site:
        for upstream in site.upstreams.values():
            site.control(upstream, {"stepMs": 45})
        for record in site.config["upstreams"]:
            record["slots"] = 1000
        site.publish_config()
        time.sleep(1)
        before = {name: cpu_seconds(site.processes[name]) for name in ("entry-1", "bid-1")}
        idle_mb = resident_mb(site.processes["entry-1"])
        runner = subprocess.Popen(
            [os.path.join(BIN, "seamarch-bench"), "load", "--addresses", site.entries["entry-1"],
             "--keys", api_key_of("account-0"), "--model", "bid", "--stream", "--callers", str(count),
             "--seconds", "3", "--tokens", str(tokens)], stdout=subprocess.PIPE, text=True)
        time.sleep(2)
        entry_mb = resident_mb(site.processes["entry-1"])
        agent_mb = resident_mb(site.processes["bid-1"])
        result = json.loads(runner.communicate()[0].splitlines()[-1])
        produced = result["answered"] * tokens
        return {"open": count, "entry_mb": round(entry_mb, 1), "agent_mb": round(agent_mb, 1),
                "entry_kb_per_stream": round((entry_mb - idle_mb) * 1024 / count, 1),
                "entry_us_per_token": round((cpu_seconds(site.processes["entry-1"])
                                             - before["entry-1"]) / produced * 1e6, 1),
                "agent_us_per_token": round((cpu_seconds(site.processes["bid-1"])
                                             - before["bid-1"]) / (produced / 4) * 1e6, 1),
                "answered": result["answered"], "wrong_answers": result["wrong_answers"],
                "outcome_unknown": result["outcome_unknown"]}


def main():
    slopes = subprocess.run([os.path.join(BIN, "seamarch-bench"), "slopes"], capture_output=True,
                            text=True, check=True).stdout
    table = {"slopes": json.loads(slopes),
             "idle": [idle(10, 6, 10), idle(40, 6, 10), idle(10, 12, 10), idle(10, 6, 2200)],
             "data_path": data_path(), "streams": streams()}
    print(json.dumps(table, indent=2))


if __name__ == "__main__":
    main()
