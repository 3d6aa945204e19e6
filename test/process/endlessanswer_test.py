"""Checks that an upstream whose answer never ends harms neither its gateway nor other callers.

The gateway stays within its memory, closes the connection, serves other callers, and tells the caller of that
answer the truth: a failure, or an answer that shows that it is incomplete.
"""

import http.client
import os
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import call, control, free_address  # noqa: E402

MEMORY_MB = 260
AGENT_MEMORY_MB = 128
# What an upstream sends at most: enough to fill the memory, or to show that the connection stays open.
MAX_SENT_BYTES = 1 << 30
# Less than the route's time-out and the caller's deadline, which end every request.
GIVEN_UP_SECONDS = 5
EVENT = b"id: 1\ndata: token\n\n"
JSON_HEAD = b"Content-Type: application/json\r\n"
STREAM_HEAD = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def chunk(piece):
    return b"%x\r\n%s\r\n" % (len(piece), piece)


# By name: the status line and headers, what follows the common headers once, and what follows without an end.
HEADS = {
    "no head": (b"", b"", b"x"),
    "a header": (b"HTTP/1.1 200 OK\r\n", b"A: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"", b"A: b\r\n"),
    "informational responses": (b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
BODIES = {
    "a body without length": (b"HTTP/1.1 200 OK\r\n" + JSON_HEAD, b"\r\n", b"x"),
    "a body with a length": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n", b"\r\n", b"x"),
    "a chunked body": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"\r\n", chunk(b"x" * 4096)),
    "a chunk's extension": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"\r\n5;", b"x"),
    "a trailer": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"\r\n0\r\n", b"A: b\r\n"),
    "the body of a failure": (b"HTTP/1.1 500 Failed\r\n", b"\r\n", b"x"),
}
STREAMS = {
    "a line of an event": (b"HTTP/1.1 200 OK\r\n" + STREAM_HEAD, b"\r\n" + EVENT + b"data: ", b"x"),
    "the lines of an event": (b"HTTP/1.1 200 OK\r\n" + STREAM_HEAD, b"\r\n" + EVENT, b"data: x\n"),
    "a chunked event": (b"HTTP/1.1 200 OK\r\n" + STREAM_HEAD + CHUNKED, b"\r\n" + chunk(EVENT),
                        chunk(b"data: x\n" * 512)),
    "an extension in a stream": (b"HTTP/1.1 200 OK\r\n" + STREAM_HEAD + CHUNKED, b"\r\n" + chunk(EVENT) + b"5;",
                                 b"x"),
    "a body in place of a stream": (b"HTTP/1.1 200 OK\r\n" + JSON_HEAD, b"\r\n", b"x"),
}


class EndlessUpstream:
    """Answers every request with bytes that never end, until the peer closes the connection.

    Sends `block` bytes or more at a time.
    """

    def __init__(self, answer, block=65536):
        self.answer, self.block = answer, block
        self.address, self.requests, self.closed = free_address(), [], 0
        host, port = self.address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as reader:
            if not reader.readline():
                return  # A probe whether the process lives.
            headers = http.client.parse_headers(reader)
            reader.read(int(headers.get("Content-Length") or 0))
            number = headers.get("Seamarch-Request-Id") or ""
            self.requests.append(number)
            start, first, repeated = self.answer
            common = f"Seamarch-Request-Id: {number}\r\nSeamarch-Replica-Signature: proof\r\n" if start else ""
            repeated *= -(-self.block // len(repeated))
            sent = 0
            try:
                connection.sendall(start + common.encode() + first)
                while sent < MAX_SENT_BYTES:
                    connection.sendall(repeated)
                    sent += len(repeated)
            except OSError:
                self.closed += 1

    def close(self):
        self.listener.close()


def peak_mb(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="ascii") as file:
        fields = dict(line.split(":", 1) for line in file)
    return int(fields["VmHWM"].split()[0]) / 1024


class EndlessAnswerTest(unittest.TestCase):
    def start(self, answer, sound=0, **more):
        """Starts a gateway before `sound` upstreams and one that answers with `answer`."""
        self.site = GatewaySite(upstreams=sound, **{"memory-mb": MEMORY_MB})
        self.addCleanup(self.site.__exit__)
        self.upstream = EndlessUpstream(answer, **more)
        self.addCleanup(self.upstream.close)
        self.site.upstreams["i-endless"] = self.upstream.address
        self.site.list_upstream("i-endless")
        self.site.wait_until("the gateway lists the upstreams",
                             lambda: self.site.status()["upstreams"] == sound + 1)

    def ask(self, path, number, deadline_ms=20_000):
        headers = {"Host": "site.example", "Seamarch-Request-Id": number, "Authorization": f"Token {KEY}",
                   "Seamarch-Deadline-Ms": str(deadline_ms)}
        return call(self.site.entry, path, "x", headers, 30, "POST")

    def check_gateway(self):
        """Checks that the endless answers have been given up and the gateway is sound."""
        self.site.wait_until("the gateway closes the connections of all endless answers",
                             lambda: self.upstream.closed == len(self.upstream.requests))
        self.assertIsNone(self.site.gateway.popen.poll())
        self.assertLess(peak_mb(self.site.gateway), MEMORY_MB)

    def check_failed(self, answers, path):
        for name, answer in answers.items():
            with self.subTest(name):
                self.start(answer)
                started = time.monotonic()
                status, headers, text = self.ask(path, "e-1")
                self.assertEqual((status, headers.get("Seamarch-Outcome")), (502, "unknown"), text)
                self.assertEqual(len(self.upstream.requests), 1)
                self.check_gateway()
                self.assertLess(time.monotonic() - started, GIVEN_UP_SECONDS)

    def test_head_without_end_is_a_failure(self):
        self.check_failed(HEADS, "/letters/1")

    def test_head_of_a_stream_without_end_is_a_failure(self):
        self.check_failed(HEADS, "/stream/1")

    def test_body_without_end_is_a_failure(self):
        self.check_failed(BODIES, "/letters/1")

    def test_stream_without_end_is_incomplete(self):
        for name, answer in STREAMS.items():
            with self.subTest(name):
                self.start(answer)
                started = time.monotonic()
                status, _, text = self.ask("/stream/1", "e-1")
                # `call` reports status 0 for an answer that shows that it is incomplete.
                self.assertIn(status, (0, 502), text)
                self.check_gateway()
                self.assertLess(time.monotonic() - started, GIVEN_UP_SECONDS)

    def read_stream(self, number):
        """Reads a stream as fast as it comes, until the gateway closes it."""
        host, port = self.site.entry.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall((f"POST /stream/1 HTTP/1.1\r\nHost: site.example\r\nSeamarch-Request-Id: {number}\r\n"
                            f"Authorization: Token {KEY}\r\nSeamarch-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n")
                           .encode())
            try:
                while caller.recv(1 << 20):
                    pass
            except OSError:
                pass

    # Guards against a loop that reads a socket for as long as its peer sends faster than the data is handled.
    def test_stream_of_blank_lines_leaves_others_their_turn(self):
        self.start((b"HTTP/1.1 200 OK\r\n" + STREAM_HEAD, b"\r\n" + EVENT, b"\n"), block=1 << 20)
        for number in range(4):
            threading.Thread(target=self.read_stream, args=(f"e-{number}",), daemon=True).start()
        self.site.wait_until("the upstream gets the streams", lambda: len(self.upstream.requests) == 4)
        time.sleep(1)
        for _ in range(5):
            self.assertEqual(call(self.site.operators, "/readyz", timeout=5)[0], 200)
        self.site.gateway.send(signal.SIGTERM)
        self.assertEqual(self.site.gateway.wait(15), 0, "the gateway ignores the signal to stop")

    def test_refusal_with_a_body_without_end_is_not_run(self):
        self.start((b"HTTP/1.1 503 Full\r\nSeamarch-Not-Executed: 1\r\n", b"\r\n", b"x"))
        status, headers, _ = self.ask("/letters/1", "e-1", 1500)
        self.assertEqual((status, headers.get("Seamarch-Outcome")), (503, "not-run"))
        self.check_gateway()

    def test_others_are_served_beside_many_answers_without_end(self):
        for name in ("a line of an event", "the lines of an event", "a chunk's extension", "a body without length"):
            with self.subTest(name):
                self.start({**BODIES, **STREAMS}[name], sound=3)
                results = []

                def ask_for_a_while(caller):
                    end = time.monotonic() + 4
                    turn = 0
                    while time.monotonic() < end:
                        turn += 1
                        number = f"o-{caller}-{turn}"
                        path = ("/letters/1", "/status/1", "/stream/1")[(caller + turn) % 3]
                        results.append((number, path, self.ask(path, number)[0]))

                callers = [threading.Thread(target=ask_for_a_while, args=(caller,)) for caller in range(16)]
                for caller in callers:
                    caller.start()
                for caller in callers:
                    caller.join()
                self.check_gateway()
                sent_there = set(self.upstream.requests)
                self.assertTrue(sent_there)
                others = [result for result in results if result[0] not in sent_there]
                self.assertGreater(len(others), 100)
                self.assertEqual([result for result in others if result[2] != 200], [])

    def test_report_without_end_leaves_an_expert_agent_within_its_memory(self):
        upstream = EndlessUpstream(BODIES["a body without length"])
        self.addCleanup(upstream.close)
        with GatewaySite(upstreams=0) as site:
            agent = site.start("seamarchd", "expertagent", "--instance", "agent-1", "--hall", "north",
                               "--service", "portal", "--listen", free_address(),
                               "--upstream", upstream.address, "--platform", site.store)
            site.wait_until("the agent has given up several reports or ends",
                            lambda: upstream.closed >= 5 or agent.popen.poll() is not None)
            self.assertIsNone(agent.popen.poll())
            self.assertLess(peak_mb(agent), AGENT_MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
