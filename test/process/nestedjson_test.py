"""Checks that a document with deeply nested arrays ends no process that reads it.

The JSON library copies, compares and writes values recursively, so that a document of some hundred
kilobytes could overflow the stack.
"""

import http.server
import json
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite, routing  # noqa: E402
from localsite import api_key_of, call, control, free_address  # noqa: E402
from process_test import make_site  # noqa: E402

DEPTH = 300_000
NESTED = "[" * DEPTH + "]" * DEPTH
ENTRY = {"service": "portal", "address": "127.0.0.1:1", "zone": "north", "capacity": 1, "phase": "ready"}


def with_nested_field(document, field):
    rest = json.dumps({name: value for name, value in document.items() if name != field})
    return f'{rest[:-1]}, "{field}": {NESTED}}}'


class Engine:
    """The only rank of a group that accepts requests."""

    def __init__(self):
        self.address = free_address()
        host, port = self.address.rsplit(":", 1)
        report = json.dumps({"group": {"name": "g", "epoch": 1, "rank": 0, "phase": "open"}, "size": 1,
                             "step": 1, "map": 0}).encode()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Length", str(len(report)))
                self.end_headers()
                self.wfile.write(report)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer((host, int(port)), Handler)
        self.server.handle_error = lambda *_: None  # The agent may end while it asks.
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def lines_of(site, role):
    site.log.flush()
    with open(site.log.name, encoding="utf-8") as file:
        lines = [json.loads(line) for line in file if line.startswith("{")]
    return [line for line in lines if line.get("role") == role]


class NestedJsonTest(unittest.TestCase):
    def put_and_check(self, site, process, role, key, text):
        """Puts `text` in the store and checks that `process` sets it aside and lives on."""
        def count():
            return sum(line["event"] == "store.item_unreadable" for line in lines_of(site, role))
        before = count()
        control(site.store, {"putText": {key: text}})
        site.wait_until(f"the {role} sets {key} aside or ends",
                        lambda: count() > before or process.popen.poll() is not None)
        self.assertIsNone(process.popen.poll(), f"expected the {role} to outlive {key}; see {site.log.name}")

    def test_upstream_entry_does_not_end_a_gateway(self):
        with GatewaySite() as site:
            self.put_and_check(site, site.gateway, "gateway", "servers/i-3", with_nested_field(ENTRY, "capacity"))
            self.assertEqual(site.ask("/letters/1")[0], 200)

    def test_upstream_entry_does_not_end_an_expert_agent(self):
        with GatewaySite(upstreams=0) as site:
            site.gateway.end()
            control(site.store, {"putText": {"servers/i-3": with_nested_field(ENTRY, "capacity")}})
            engine = Engine()
            self.addCleanup(engine.close)
            calls = control(site.store, {})["calls"]
            agent = site.start("seamarchd", "expertagent", "--instance", "agent-1", "--hall", "north",
                               "--service", "portal", "--listen", free_address(),
                               "--upstream", engine.address, "--platform", site.store)
            site.wait_until("the agent watches the store after it has listed it, or ends",
                            lambda: control(site.store, {})["calls"] >= calls + 2
                            or agent.popen.poll() is not None)
            self.assertIsNone(agent.popen.poll(), f"expected the agent to live; see {site.log.name}")

    def test_routing_document_does_not_end_a_gateway(self):
        with GatewaySite() as site:
            for version, field in enumerate(("tenants", "services", "limits"), 2):
                self.put_and_check(site, site.gateway, "gateway", "op/config",
                                   with_nested_field(routing(version), field))
            self.assertEqual(site.ask("/letters/1")[0], 200)

    def test_request_does_not_end_an_entry(self):
        with make_site() as site:
            entry = site.entries["entry-1"]
            headers = {"Authorization": f"Bearer {api_key_of('bids')}", "Content-Type": "application/json"}
            for path, text in (("/v1/chat/completions", f'{{"model":"bid","messages":{NESTED}}}'),
                               ("/v1/completions", f'{{"model":"bid","prompt":{NESTED}}}'),
                               ("/v1/tickets", f'{{"target":{NESTED}}}')):
                status, _, answer = call(entry, path, text, headers)
                self.assertEqual(status, 400, answer)
                self.assertIn("nested", answer)
            self.assertIsNone(site.processes["entry-1"].popen.poll())


if __name__ == "__main__":
    unittest.main()
