"""Tests of whole processes under kill, pause, planned stop, stale configuration and platform loss.

Waits have generous bounds, and no check depends on durations.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
from localsite import Site, call, api_key_of  # noqa: E402

QUICK_ENTRY = ["--heartbeat-ms", "100", "--lease-ms", "1000", "--stop-delay-ms", "300"]
QUICK_AGENT = ["--lease-ms", "1000"]
AUTH = {"Authorization": f"Bearer {api_key_of('bids')}", "Content-Type": "application/json"}


def make_site(engines=2, services=0, entries=2):
    site = Site("test", entry_options=QUICK_ENTRY, agent_options=QUICK_AGENT,
                log_path=os.environ.get("SEAMARCH_TEST_LOG"))
    site.add_accounts(["bids"], homeHall="north")
    site.config["models"].append({"name": "bid", "version": "v1"})
    site.config["services"].append({"name": "portal", "routes": [
        {"method": "POST", "path": "/letters", "repeatable": False},
        {"method": "POST", "path": "/status", "repeatable": True}]})
    site.add_pool("bid", engines, "engine")
    site.add_pool("portal", services, "service")
    site.add_entries(entries)
    site.publish_and_wait()
    return site


def chat(tokens, stream, prompt="tender 7"):
    return json.dumps({"model": "bid", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": prompt}]})


def letter(entry, body, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(entry, "/services/portal/letters", body, {**AUTH, **named})


def code_of(text):
    return json.loads(text)["error"]["code"]


class Stream(threading.Thread):
    """Reads a streamed answer to its end on its own thread."""

    def __init__(self, entry, tokens, prompt="tender 7"):
        super().__init__()
        self.request = urllib.request.Request(f"http://{entry}/v1/chat/completions",
                                              data=chat(tokens, True, prompt).encode(), headers=AUTH)
        self.text = ""
        self.error = None
        self.started = threading.Event()
        self.start()

    def run(self):
        try:
            with urllib.request.urlopen(self.request, timeout=60) as answer:
                for line in answer:
                    self.text += line.decode()
                    self.started.set()
        except Exception as error:  # The connection broke.
            self.error = error
        self.started.set()

    def is_complete(self):
        return self.error is None and self.text.rstrip().endswith("data: [DONE]")

    def join_and_check_complete(self):
        self.join(30)
        return self.is_complete()

    def tokens(self):
        return self.text.count("chat.completion.chunk")


class ProcessTest(unittest.TestCase):
    def test_killed_agent_breaks_its_streams_and_no_others(self):
        with make_site() as site:
            for name in site.upstreams:
                site.control(site.upstreams[name], {"stepMs": 20})
            entry = site.entries["entry-1"]
            streams = [Stream(entry, 100, f"tender {index}") for index in range(8)]
            for stream in streams:
                stream.started.wait(20)
            site.processes["bid-1"].end()
            for stream in streams:
                stream.join(30)
            broken = [stream for stream in streams if not stream.is_complete()]
            self.assertTrue(0 < len(broken) < 8)
            for stream in broken:
                self.assertNotIn("[DONE]", stream.text)
            for index, stream in enumerate(streams):
                for line in stream.text.splitlines():
                    if "chat.completion.chunk" in line:
                        self.assertIn(f"tender {index} ", line)
            status, _, _ = call(entry, "/v1/chat/completions", chat(2, False), AUTH)
            self.assertEqual(status, 200)

    def test_planned_stop_of_an_agent_cuts_nothing_off(self):
        with make_site() as site:
            for name in site.upstreams:
                site.control(site.upstreams[name], {"stepMs": 20})
            streams = [Stream(site.entries["entry-1"], 100) for _ in range(8)]
            for stream in streams:
                stream.started.wait(20)
            site.processes["bid-1"].send(signal.SIGTERM)
            for stream in streams:
                stream.join(30)
            self.assertTrue(all(stream.is_complete() for stream in streams))
            self.assertEqual([stream.tokens() for stream in streams], [100] * 8)
            self.assertEqual(site.processes["bid-1"].wait(20), 0)

    def test_planned_stop_of_an_entry_cuts_nothing_off(self):
        with make_site() as site:
            for name in site.upstreams:
                site.control(site.upstreams[name], {"stepMs": 20})
            streams = [Stream(site.entries["entry-1"], 100) for _ in range(8)]
            for stream in streams:
                stream.started.wait(20)
            site.processes["entry-1"].send(signal.SIGTERM)
            site.wait_until("readiness goes down", lambda: call(
                site.operators["entry-1"], "/readyz")[0] in (503, 0))
            for stream in streams:
                stream.join(30)
            self.assertTrue(all(stream.is_complete() for stream in streams))
            self.assertEqual(site.processes["entry-1"].wait(20), 0)

    def test_paused_agent_gets_no_new_work_and_wakes_harmlessly(self):
        with make_site(engines=0, services=2, entries=1) as site:
            entry = site.entries["entry-1"]
            paused = site.processes["portal-1"]
            paused.send(signal.SIGSTOP)
            site.wait_until("the lease runs out", lambda: not site.status("entry-1")
                            .get("agents", {}).get("portal-1", {}).get("mayReceive", True))
            answers = [letter(entry, f"letter {index}")[0] for index in range(10)]
            self.assertEqual(answers, [200] * 10)
            paused.send(signal.SIGCONT)
            site.wait_until("the agent is back", lambda: site.status("entry-1")
                            ["agents"]["portal-1"]["mayReceive"])
            runs = site.runs("portal")
            self.assertEqual(sorted(runs), sorted(set(runs)))
            self.assertEqual(len(runs), 10)

    def test_lost_answer_is_unknown_and_runs_once(self):
        with make_site(engines=0, services=2) as site:
            for name in site.upstreams:
                site.control(site.upstreams[name], {"dropAnswers": True})
            status, headers, text = letter(site.entries["entry-1"], "letter 1")
            self.assertEqual((status, headers["Seamarch-Outcome"], code_of(text)),
                             (502, "unknown", "upstream_failed"))
            self.assertEqual(site.runs("portal"), ["letter 1"])

    def test_dead_upstream_is_not_run_and_served_elsewhere(self):
        with make_site(engines=0, services=2, entries=1) as site:
            site.processes["portal-1.upstream"].end()
            answers = [letter(site.entries["entry-1"], f"letter {index}")[0] for index in range(8)]
            self.assertEqual(answers, [200] * 8)

    def test_ticket_runs_once_through_any_entry(self):
        with make_site(engines=0, services=2) as site:
            status, _, text = call(site.entries["entry-1"], "/v1/tickets",
                                   json.dumps({"target": "portal"}), AUTH)
            self.assertEqual(status, 200)
            ticket = json.loads(text)["ticket"]
            first = letter(site.entries["entry-1"], "visit", Seamarch_Ticket=ticket)
            second = letter(site.entries["entry-2"], "visit", Seamarch_Ticket=ticket)
            self.assertEqual(first[0], 200)
            self.assertEqual((second[0], code_of(second[2])), (409, "ticket_spent"))
            self.assertEqual(site.runs("portal"), ["visit"])

    def test_ticket_dies_with_its_agent(self):
        with make_site(engines=0, services=2) as site:
            _, _, text = call(site.entries["entry-1"], "/v1/tickets",
                              json.dumps({"target": "portal"}), AUTH)
            ticket = json.loads(text)["ticket"]
            site.restart(ticket.rsplit(".", 2)[0])
            site.wait_until("the new agent is usable", lambda: all(
                agent["mayReceive"] for agent in site.status("entry-2")["agents"].values()))
            site.wait_until("the ticket is dead", lambda: letter(
                site.entries["entry-2"], "visit", Seamarch_Ticket=ticket)[0] == 409)
            self.assertEqual(site.runs("portal"), [])

    def test_key_runs_once_through_any_entry(self):
        with make_site(engines=0, services=3) as site:
            def fresh_key():
                millis = int(time.time() * 1000)
                return f"{millis >> 16:08x}-{millis & 0xffff:04x}-7abc-8abc-{os.urandom(6).hex()}"
            answers = []

            def accepted():
                key = fresh_key()
                answer = letter(site.entries["entry-1"], key, Idempotency_Key=key)
                if answer[0] == 200:
                    answers.append(key)
                return answer[0] == 200
            site.wait_until("the homes hold their grants", accepted, 30)
            key = answers[0]
            again = letter(site.entries["entry-2"], key, Idempotency_Key=key)
            self.assertEqual((again[0], code_of(again[2])), (409, "key_seen_before"))
            self.assertEqual(site.runs("portal").count(key), 1)

    def test_leaving_agent_gets_no_new_work(self):
        with make_site(engines=0, services=2, entries=1) as site:
            site.set_state("portal-1", "leaving")
            site.publish_list()
            site.wait_until("the agent leaves", lambda: not site.status("entry-1")
                            ["agents"]["portal-1"]["mayReceive"])
            for index in range(10):
                self.assertEqual(letter(site.entries["entry-1"], f"letter {index}")[0], 200)
            self.assertEqual(site.control(site.upstreams["portal-1"], {})["runs"], 0)

    def test_configuration_never_goes_back(self):
        with make_site(entries=3) as site:
            site.publish_config()
            site.publish_config()
            version = site.config["version"]
            everyone = list(site.entries) + ["bid-1", "bid-2"]
            site.wait_until("the change is in force everywhere", lambda: all(
                site.status(name).get("configVersion") == version for name in everyone))
            site.control(site.platform, {"serveOld": True})
            site.restart("entry-2")
            site.wait_until("the restarted entry is ready", lambda: site.status("entry-2")
                            .get("ready"))
            self.assertEqual(site.status("entry-2")["configVersion"], version)
            self.assertEqual(site.status("entry-1")["configVersion"], version)

    def test_serves_on_without_the_platform(self):
        with make_site(entries=3) as site:
            site.control(site.platform, {"down": True})
            status, _, _ = call(site.entries["entry-1"], "/v1/chat/completions", chat(2, False), AUTH)
            self.assertEqual(status, 200)

    def test_rollout_keeps_the_floor_and_cuts_nothing_off(self):
        with make_site(engines=3, entries=1) as site:
            for upstream in site.upstreams.values():
                site.control(upstream, {"stepMs": 10, "ignoresFences": True, "loadMs": 500})
            streams = [Stream(site.entries["entry-1"], 100) for _ in range(6)]
            for stream in streams:
                stream.started.wait(20)
            site.config["models"][0].update(version="v2", minServing=2)
            site.publish_config()
            worst = []

            def reloaded():
                states = [site.control(upstream, {}) for upstream in site.upstreams.values()]
                worst.append(sum(state["loading"] for state in states))
                return all(state["version"] == "v2" for state in states)
            site.wait_until("all engines are reloaded", reloaded, 60)
            for stream in streams:
                stream.join(30)
            self.assertTrue(all(stream.is_complete() for stream in streams))
            self.assertEqual(max(worst), 1)
            self.assertEqual(sum(site.control(upstream, {})["lowFences"]
                                 for upstream in site.upstreams.values()), 0)
            site.wait_until("all agents serve again", lambda: all(
                agent["mayReceive"] for agent in site.status("entry-1")["agents"].values()))

    def test_bad_input_has_its_own_code(self):
        with make_site(engines=1, entries=1) as site:
            entry = site.entries["entry-1"]
            cases = [
                ("/v1/chat/completions", "{", AUTH, 400, "bad_request"),
                ("/v1/chat/completions", '{"model": "bid"}', AUTH, 400, "bad_request"),
                ("/v1/chat/completions", '{"model": "no", "messages": [1]}', AUTH, 404, "not_found"),
                ("/v1/chat/completions", chat(0, False), AUTH, 400, "bad_request"),
                ("/v1/chat/completions", chat(1, False), {}, 401, "unauthorized"),
                ("/v1/chat/completions", chat(1, False), {"Authorization": "Bearer x"}, 401,
                 "unauthorized"),
                ("/nowhere", "{}", AUTH, 404, "not_found"),
                ("/services/none/x", "{}", AUTH, 404, "not_found"),
                ("/services/portal/nowhere", "{}", AUTH, 404, "not_found"),
                ("/v1/models", "{}", AUTH, 405, "method_not_allowed"),
                ("/services/portal/letters", "x", {**AUTH, "Seamarch-Ticket": "x"}, 400,
                 "bad_request"),
                ("/services/portal/letters", "x", {**AUTH, "Idempotency-Key": "x"}, 400,
                 "bad_request"),
                ("/v1/chat/completions", chat(1, False), {**AUTH, "Seamarch-Deadline-Ms": "-1"},
                 400, "bad_request"),
                ("/v1/chat/completions", "x" * (9 * 1024 * 1024), AUTH, 413, "payload_too_large"),
            ]
            for path, body, headers, status, code in cases:
                answer = call(entry, path, body, headers)
                if answer[0] == 0 and status == 413:
                    continue  # The server closed the connection while the client was sending.
                self.assertEqual((answer[0], code_of(answer[2])), (status, code), body[:60])
                self.assertEqual(answer[1]["Seamarch-Outcome"], "not-run")

    # Guards against the end of an entry: the library refuses to write text that is not UTF-8.
    def test_bytes_that_are_not_utf8_are_rejected_and_end_no_entry(self):
        with make_site(engines=1, entries=1) as site:
            host, port = site.entries["entry-1"].split(":")
            for path, header in (("/nowhere/\xff", ""), ("/services/\xff", ""),
                                 ("/v1/chat/completions", "Seamarch-Priority: \xff\r\n"),
                                 ("/v1/chat/completions", "Seamarch-Deadline-Ms: \xff\r\n")):
                body = chat(1, False)
                with socket.create_connection((host, int(port)), 10) as connection:
                    connection.sendall((f"POST {path} HTTP/1.1\r\nHost: x\r\n{header}"
                                        f"Authorization: {AUTH['Authorization']}\r\n"
                                        f"Content-Length: {len(body)}\r\n\r\n{body}").encode("latin-1"))
                    answer = connection.recv(4096)
                self.assertRegex(answer, rb"^HTTP/1.1 40[04] ", path + header)
                self.assertIn(b"not-run", answer)
            self.assertIsNone(site.processes["entry-1"].popen.poll())

    def test_openai_package_works_unchanged(self):
        root = os.path.join(os.path.dirname(__file__), "..", "..")
        clients = os.path.join(root, "build", "clients")
        os.makedirs(clients, exist_ok=True)
        script = os.path.join(clients, "openai_test.mjs")
        shutil.copy(os.path.join(root, "test", "clients", "openai_test.mjs"), script)
        if not os.path.isdir(os.path.join(clients, "node_modules", "openai")):
            subprocess.run(["npm", "install", "--no-save", "--no-audit", "--no-fund",
                            "--loglevel=error", "--prefix", clients, "openai@4"], check=True)
        with make_site(engines=1, entries=1) as site:
            done = subprocess.run(["node", script, site.entries["entry-1"], api_key_of("bids")],
                                  capture_output=True, text=True, timeout=60, check=False)
            self.assertEqual(done.returncode, 0, done.stderr)

    def test_slow_caller_holds_up_only_itself(self):
        def resident_mb(site, name):
            with open(f"/proc/{site.processes[name].popen.pid}/status", encoding="ascii") as file:
                return int(file.read().split("VmRSS:")[1].split()[0]) / 1024
        with make_site(engines=1, entries=1) as site:
            upstream = site.upstreams["bid-1"]
            site.control(upstream, {"stepMs": 1})
            before = {name: resident_mb(site, name) for name in ("entry-1", "bid-1")}
            # Each token is an 8 KB event; the caller reads none of the 50 MB.
            body = chat(10000, True, "x" * 8192)
            with socket.create_connection(tuple(site.entries["entry-1"].split(":"))) as caller:
                head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                        f"{AUTH['Authorization']}\r\nSeamarch-Deadline-Ms: 600000\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n")
                caller.sendall((head + body).encode())
                site.wait_until("50 MB are produced",
                                lambda: site.control(upstream, {})["tokens"] > 6400, 60)
                grown = {name: resident_mb(site, name) - mb for name, mb in before.items()}
                self.assertEqual(Stream(site.entries["entry-1"], 5).join_and_check_complete(), True)
            for name, mb in grown.items():
                self.assertLess(mb, 8, name)

    def test_caller_that_leaves_cancels_the_upstream(self):
        with make_site(engines=1, entries=1) as site:
            upstream = site.upstreams["bid-1"]
            site.control(upstream, {"stepMs": 50})
            request = urllib.request.Request(
                f"http://{site.entries['entry-1']}/v1/chat/completions",
                data=chat(1000, True).encode(), headers=AUTH)
            answer = urllib.request.urlopen(request, timeout=20)
            answer.readline()
            answer.close()
            site.wait_until("the engine stops", lambda: site.control(upstream, {})["running"] == 0)
            self.assertEqual(site.control(upstream, {})["cancelled"], 1)


if __name__ == "__main__":
    unittest.main()
