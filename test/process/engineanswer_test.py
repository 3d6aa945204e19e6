"""Checks that an engine's answer with fields of other types or deep nesting ends no agent."""

import http.server
import json
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from process_test import AUTH, chat, make_site  # noqa: E402
from localsite import call  # noqa: E402

DEPTH = 300_000
NESTED = "[" * DEPTH + "]" * DEPTH


class Engine:
    """Answers at the address of an engine of the site, in its place."""

    def __init__(self, address):
        self.completion, self.state, self.states_read = "{}", '{"version": "v1"}', 0
        host, port = address.split(":")
        engine = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                engine.states_read += self.path == "/v1/orders"
                self.answer(engine.state)

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                self.answer(engine.state if self.path == "/v1/orders" else engine.completion)

            def answer(self, text):
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text.encode())

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer((host, int(port)), Handler)
        self.server.handle_error = lambda *_: None  # The agent may end while it asks.
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class EngineAnswerTest(unittest.TestCase):
    def setUp(self):
        self.site = make_site(engines=1, entries=1)
        self.addCleanup(self.site.__exit__)
        self.site.processes["bid-1.upstream"].end()
        self.engine = Engine(self.site.upstreams["bid-1"])
        self.addCleanup(self.engine.close)
        self.agent = self.site.processes["bid-1"].popen

    def test_completion_with_a_mistyped_token_count_is_passed_on(self):
        for usage in ('{"completion_tokens": "many"}', '{"completion_tokens": -1}', "7", NESTED):
            self.engine.completion = f'{{"usage": {usage}}}'
            status, _, text = call(self.site.entries["entry-1"], "/v1/chat/completions", chat(1, False), AUTH)
            self.assertEqual((status, text), (200, self.engine.completion), usage[:40])
            self.assertIsNone(self.agent.poll(), "expected the agent to live")

    def test_mistyped_state_ends_no_agent(self):
        for state in ('{"version": "v1", "fence": "x"}', '{"version": "v1", "loading": 3}',
                      f'{{"version": {NESTED}}}'):
            self.engine.state = state
            before = self.engine.states_read
            self.site.wait_until("the agent reads the state again or ends",
                                 lambda: self.engine.states_read >= before + 3 or self.agent.poll() is not None)
            self.assertIsNone(self.agent.poll(), f"expected the agent to live; state: {state[:40]}")


if __name__ == "__main__":
    unittest.main()
