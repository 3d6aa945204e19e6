"""Tests of the gateway as a process, with stand-ins for the platform's store and the upstreams.

Each test injects a failure from outside and checks what callers and upstreams observe. Waits have
generous bounds, and no check depends on durations.
"""

import itertools
import json
import os
import signal
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
from localsite import BIN, Process, call, control, free_address  # noqa: E402

_numbers = itertools.count(1)
KEY = "key-of-bids"


def routing(version, keys=(KEY,)):
    def route(name, prefix, kind, **more):
        return {"name": name, "hostname": "site.example", "path-prefix": prefix, "type": kind,
                "service": "portal", "timeout-ms": 6000, "max-attempts": 2, **more}
    return {"version": version, "tenants": [{"name": "bids", "api-keys": list(keys)}],
            "services": [{"name": "portal", "max-connections": 100}],
            "routes": [route("letters", "/letters/", "unsafe"), route("status", "/status/", "safe"),
                       route("stream", "/stream/", "streaming", **{"stream-resume": True})]}


class GatewaySite:
    """Runs a store, upstreams and one gateway on loopback."""

    stop_settings = "stop-delay-ms = 400\n"  # Of the gateway; empty: those of a deployment.

    def __init__(self, upstreams=2, **more):
        """`more` holds further gateway settings by name."""
        self.log = tempfile.NamedTemporaryFile("w+", suffix=".log")
        self.processes = []
        self.store = free_address()
        self.start("seamarch-standin", "store", "--listen", self.store)
        self.upstreams = {}
        for number in range(upstreams):
            name, address = f"i-{number + 1}", free_address()
            self.upstreams[name] = address
            self.start("seamarch-standin", "replica", "--listen", address)
            control(address, {"id": name})
        self.publish(1)
        for name in self.upstreams:
            self.list_upstream(name)
        self.entry, self.operators = free_address(), free_address()
        self.settings = tempfile.NamedTemporaryFile("w+", suffix=".conf")
        self.settings.write("instance = gateway-1\nhall = north\nlog-level = info\n"
                            f"listen = {self.entry}\noperator-listen = {self.operators}\n"
                            f"platform = {self.store}\n{self.stop_settings}")
        self.settings.write("".join(f"{name} = {value}\n" for name, value in more.items()))
        self.settings.flush()
        self.start_gateway()
        self.wait_until("the gateway is ready",
                        lambda: call(self.operators, "/readyz", timeout=2)[0] == 200)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()

    def start(self, program, *arguments):
        process = Process([os.path.join(BIN, program), *arguments], self.log)
        self.processes.append(process)
        return process

    def start_gateway(self):
        self.gateway = self.start("seamarchd", "gateway", "--config", self.settings.name)

    def publish(self, version, keys=(KEY,)):
        control(self.store, {"put": {"op/config": routing(version, keys)}})

    def list_upstream(self, name, phase="ready", **more):
        """`more` holds further fields of the entry by name."""
        entry = {"service": "portal", "address": self.upstreams[name], "zone": "north",
                 "capacity": 6, "phase": phase, **more}
        control(self.store, {"put": {f"servers/{name}": entry}})

    def status(self):
        return json.loads(call(self.operators, "/status")[2])

    def wait_until(self, condition, check, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if check():
                return
            time.sleep(0.02)
        raise RuntimeError(f"timed out after {seconds} s waiting for: {condition}")

    def ask(self, path, body="x", key=KEY, timeout=10, method="POST"):
        headers = {"Host": "site.example", "Seamarch-Request-Id": f"r-{next(_numbers)}"}
        if key:
            headers["Authorization"] = f"Token {key}"
        return call(self.entry, path, body, headers, timeout, method)

    def runs(self):
        return [run for address in self.upstreams.values()
                for run in control(address, {})["runs"]]

    def runs_at(self, name):
        return len(control(self.upstreams[name], {})["runs"])

    def set_all(self, **change):
        for address in list(self.upstreams.values()):  # A test may replace upstreams meanwhile.
            control(address, change)

    def log_text(self):
        self.log.flush()
        with open(self.log.name, encoding="utf-8") as file:
            return file.read()

    def events(self):
        return [json.loads(line)["event"] for line in self.log_text().splitlines() if line.startswith("{")]


class GatewayTest(unittest.TestCase):
    def test_serves_under_the_accounts_name_and_without_its_key(self):
        with GatewaySite() as site:
            status, headers, _ = site.ask("/letters/1")
            self.assertEqual(status, 200)
            self.assertTrue(headers["Seamarch-Replica-Signature"].startswith("proof-of-i-"))
            self.assertEqual([(run["account"], run["key"]) for run in site.runs()], [("bids", "")])

    def test_unknown_key_and_path_are_said_so(self):
        with GatewaySite() as site:
            self.assertEqual(site.ask("/letters/1", key="wrong")[0], 401)
            self.assertEqual(site.ask("/elsewhere/")[0], 404)
            self.assertEqual(site.runs(), [])

    def test_lost_answer_is_unknown_and_runs_once(self):
        with GatewaySite() as site:
            site.set_all(dropAnswers=True)
            status, headers, _ = site.ask("/letters/1")
            self.assertEqual(status, 502)
            self.assertEqual(headers["Seamarch-Outcome"], "unknown")
            self.assertEqual(len(site.runs()), 1)

    # An upstream refuses with the same status if it is not the expected instance.
    def test_request_that_expects_other_weights_does_not_put_its_upstream_aside(self):
        with GatewaySite() as site:
            first = "i-1" if site.ask("/letters/1") and site.runs_at("i-1") else "i-2"
            other = "i-2" if first == "i-1" else "i-1"
            control(site.upstreams[first], {"weights": "1"})
            control(site.upstreams[other], {"weights": "2"})
            headers = {"Host": "site.example", "Seamarch-Request-Id": "v-1", "Seamarch-Expect-Version": "2",
                       "Authorization": f"Token {KEY}"}
            self.assertEqual(call(site.entry, "/letters/1", "x", headers, 10, "POST")[0], 200)
            self.assertEqual(site.runs_at(other), 1,
                             "the other upstream did not run the request; the test is inconclusive")
            before = site.runs_at(first)
            for _ in range(3):
                self.assertEqual(site.ask("/letters/1")[0], 200)
            self.assertGreater(site.runs_at(first), before, f"{first} refused a request that expects other weights "
                               "and gets no other requests either")

    def test_full_upstreams_are_not_run_and_say_when_to_come_back(self):
        with GatewaySite() as site:
            site.set_all(full=True)
            status, headers, _ = site.ask("/letters/1")
            self.assertEqual(status, 503)
            self.assertEqual(headers["Seamarch-Outcome"], "not-run")
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertEqual(site.runs(), [])

    def test_answer_with_another_requests_id_never_arrives(self):
        with GatewaySite() as site:
            site.set_all(foreignId=True)
            status, headers, _ = site.ask("/letters/1")
            self.assertEqual(status, 502)
            self.assertIsNone(headers["Seamarch-Replica-Signature"])

    def test_failed_safe_request_is_served_by_another(self):
        with GatewaySite() as site:
            control(site.upstreams["i-1"], {"fail": True})
            site.wait_until("the failing upstream got a request", lambda: self.ask_and_evaluate(
                site, lambda: control(site.upstreams["i-1"], {})["runs"]))

    def ask_and_evaluate(self, site, seen):
        self.assertEqual(site.ask("/status/1")[0], 200)
        return seen()

    def test_broken_stream_goes_on_elsewhere_without_a_gap(self):
        with GatewaySite() as site:
            control(site.upstreams["i-1"], {"breakAfter": 4})
            control(site.upstreams["i-2"], {"breakAfter": 0})
            whole = "".join(f"id: {n}\ndata: token {n}\n\n" for n in range(1, 11))

            def resumed():
                self.assertEqual(site.ask("/stream/1")[2], whole)
                return "4" in {run["resumeAfter"] for run in site.runs()}
            site.wait_until("a stream was resumed", resumed)

    def test_leaving_upstream_gets_nothing_new(self):
        with GatewaySite() as site:
            site.list_upstream("i-1", "draining")
            site.wait_until("the gateway has read the change", lambda: "upstream.listed" in site.events())
            for _ in range(10):
                self.assertEqual(site.ask("/letters/1")[0], 200)
            self.assertEqual(control(site.upstreams["i-1"], {})["runs"], [])

    def test_revoked_key_is_dead_and_a_new_one_lives(self):
        with GatewaySite() as site:
            site.publish(2, ("new",))
            site.wait_until("version 2", lambda: site.status()["configVersion"] == 2)
            self.assertEqual(site.ask("/letters/1")[0], 401)
            self.assertEqual(site.ask("/letters/1", key="new")[0], 200)

    def test_configuration_never_goes_back(self):
        with GatewaySite() as site:
            site.publish(5, ("new",))
            site.wait_until("version 5", lambda: site.status()["configVersion"] == 5)
            site.publish(3)
            control(site.store, {"forget": True})
            time.sleep(1.5)
            self.assertEqual(site.status()["configVersion"], 5)

    def test_keys_are_not_judged_on_old_knowledge(self):
        with GatewaySite() as site:
            control(site.store, {"silent": True})
            site.wait_until("keys are refused", lambda: site.ask("/letters/1")[0] == 503)
            self.assertEqual(site.ask("/letters/1", key="wrong")[0], 503)
            self.assertEqual(call(site.operators, "/readyz")[0], 503)
            control(site.store, {"silent": False})
            site.wait_until("served again", lambda: site.ask("/letters/1")[0] == 200)

    def test_unreadable_configuration_confirms_nothing(self):
        with GatewaySite() as site:
            control(site.store, {"put": {"op/config": {"version": "two"}}})
            site.wait_until("keys are refused", lambda: site.ask("/letters/1")[0] == 503)
            site.publish(3)
            site.wait_until("served again", lambda: site.ask("/letters/1")[0] == 200)

    def test_forgotten_history_is_listed_anew(self):
        with GatewaySite() as site:
            control(site.store, {"forget": True, "put": {"op/config": routing(2)}})
            site.wait_until("version 2", lambda: site.status()["configVersion"] == 2)

    def test_caller_that_leaves_closes_the_upstreams_connection(self):
        with GatewaySite(upstreams=1) as site:
            site.set_all(delayMs=3000)
            self.assertEqual(site.ask("/letters/1", timeout=0.5)[0], 0)
            site.wait_until("the upstream saw the disconnect",
                            lambda: control(site.upstreams["i-1"], {})["left"] == 1)

    def test_planned_stop_cuts_nothing_off(self):
        with GatewaySite() as site:
            site.set_all(delayMs=100)
            results = []
            threads = [threading.Thread(target=lambda: results.append(site.ask("/stream/1")[2]))
                       for _ in range(4)]
            for thread in threads:
                thread.start()
            site.wait_until("streams run", lambda: site.status()["inFlight"] == 4)
            site.gateway.send(signal.SIGTERM)
            site.wait_until("the gateway is not ready", lambda: call(site.operators, "/readyz")[0] == 503)
            for thread in threads:
                thread.join()
            self.assertEqual([text.count("data:") for text in results], [10] * 4)
            self.assertEqual(site.gateway.wait(10), 0)

    def test_hangup_reads_the_settings_anew_and_faults_change_nothing(self):
        with GatewaySite() as site:
            site.gateway.send(signal.SIGHUP)
            site.wait_until("reloaded", lambda: "settings.reloaded" in site.events())
            site.settings.write("key-freshness-ms = soon\n")
            site.settings.flush()
            site.wait_until("rejected", lambda: "settings.rejected" in site.events())
            self.assertEqual(site.ask("/letters/1")[0], 200)

    def test_new_store_connection_replaces_one_that_says_nothing(self):
        with GatewaySite() as site:
            control(site.store, {"silent": True})
            site.wait_until("lost", lambda: "store.lost" in site.events())
            control(site.store, {"silent": False, "put": {"op/config": routing(9)}})
            site.wait_until("version 9", lambda: site.status()["configVersion"] == 9)


if __name__ == "__main__":
    unittest.main()
