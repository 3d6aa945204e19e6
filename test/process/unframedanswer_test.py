"""Checks answers that have neither a length nor chunks and end with their connection.

The end of the connection is the end of such an answer, unless the connection was reset or a stream ends
inside an event: then the answer is incomplete, and callers must not take it for a whole one.
"""

import http.client
import os
import socket
import struct
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import call, free_address  # noqa: E402

EVENTS = 10
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def event(number, padding=0):
    return f"id: {number}\ndata: token {number}{' ' * padding}\n\n".encode()


class UnframedUpstream:
    """An upstream whose answers end with their connection. `behave` sends one after its head."""

    def __init__(self, behave, runs):
        self.address, self.behave, self.runs = free_address(), behave, runs
        host, port = self.address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)))
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
                return
            headers = http.client.parse_headers(reader)
            if "Seamarch-Request-Id" not in headers:  # The gateway asks whether the process runs.
                connection.sendall(b"HTTP/1.1 400 Bad Request\r\nSeamarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                return
            reader.read(int(headers.get("Content-Length") or 0))
            self.runs.append(headers)
            kind = "text/event-stream" if self.behave.__name__.startswith("stream") else "application/json"
            connection.sendall(f"HTTP/1.1 200 OK\r\nSeamarch-Request-Id: {headers['Seamarch-Request-Id']}\r\n"
                               f"Seamarch-Replica-Signature: proof\r\nContent-Type: {kind}\r\n\r\n".encode())
            self.behave(connection, int(headers.get("Last-Event-Id") or 0) + 1, len(self.runs))

    def close(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # Ends accept(), which keeps the address open.
        except OSError:
            pass  # It is closed already.
        self.listener.close()


def whole(connection, _first, _run):
    connection.sendall(b'{"served":true}')


def reset_once(connection, _first, run):
    connection.sendall(b'{"served":')
    if run == 1:
        time.sleep(0.05)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return
    connection.sendall(b"true}")


def stream_whole(connection, first, _run):
    for number in range(first, EVENTS + 1):
        connection.sendall(event(number))
        time.sleep(0.01)


def stream_long(connection, first, _run):
    for number in range(first, 401):
        connection.sendall(event(number, 8192))


def stream_broken_once(connection, first, run):
    for number in range(first, EVENTS + 1):
        if run == 1 and number == 4:
            connection.sendall(event(number)[:-3])
            return
        connection.sendall(event(number))
        time.sleep(0.01)


def stream_broken(connection, _first, _run):
    connection.sendall(event(1) + event(2)[:-1])


class UnframedAnswerTest(unittest.TestCase):
    def start(self, behave, upstreams=1):
        """Starts a gateway before upstreams that behave alike."""
        self.site = GatewaySite(upstreams=0)
        self.addCleanup(self.site.__exit__)
        self.runs, self.upstreams = [], []
        for number in range(upstreams):
            upstream = UnframedUpstream(behave, self.runs)
            self.upstreams.append(upstream)
            self.addCleanup(upstream.close)
            self.site.upstreams[f"u-{number}"] = upstream.address
            self.site.list_upstream(f"u-{number}")
        self.site.wait_until("the gateway lists the upstreams",
                             lambda: self.site.status()["upstreams"] == upstreams)

    def ask(self, path, deadline_ms=5000):
        headers = {"Host": "site.example", "Seamarch-Request-Id": "u-1", "Authorization": f"Token {KEY}",
                   "Seamarch-Deadline-Ms": str(deadline_ms)}
        return call(self.site.entry, path, "x", headers, 8, "POST")

    def test_end_of_the_connection_completes_an_answer(self):
        self.start(whole)
        for path in ("/status/1", "/letters/1"):
            status, headers, text = self.ask(path)
            self.assertEqual((status, text, headers["Seamarch-Replica-Signature"]),
                             (200, '{"served":true}', "proof"))

    def test_reset_leaves_an_answer_incomplete(self):
        self.start(reset_once, upstreams=2)
        self.assertEqual(self.ask("/status/1")[::2], (200, '{"served":true}'))
        self.assertEqual(len(self.runs), 2)

    def test_reset_answer_of_a_request_that_may_run_once_is_unknown(self):
        self.start(reset_once, upstreams=2)
        status, headers, _ = self.ask("/letters/1")
        self.assertEqual((status, headers["Seamarch-Outcome"]), (502, "unknown"))
        self.assertEqual(len(self.runs), 1)

    # Guards against a part of an answer, taken for the whole one as too little time is left to probe its upstream.
    def test_answer_that_a_crash_cut_off_just_before_the_deadline_is_not_complete(self):
        def crash(connection, _first, _run):
            connection.sendall(b'{"served":')
            self.upstreams[0].close()  # The probe is refused.

        for path in ("/letters/1", "/status/1"):
            with self.subTest(path):
                self.start(crash)
                status, _, text = self.ask(path, deadline_ms=500)
                self.assertIn(status, (502, 503, 504), text)

    def test_end_of_the_connection_completes_a_stream(self):
        self.start(stream_whole)
        status, _, text = self.ask("/stream/1")
        self.assertEqual((status, text), (200, "".join(event(n).decode() for n in range(1, EVENTS + 1))))

    # Guards against the planned end of an upstream that makes a stream look complete.
    def test_stream_whose_upstream_leaves_and_ends_is_resumed(self):
        def stream_and_leave(connection, first, run):
            for number in range(first, EVENTS + 1):
                if run == 1 and number == 4:
                    port = connection.getsockname()[1]
                    index = next(index for index, each in enumerate(self.upstreams) if each.address.endswith(f":{port}"))
                    self.site.list_upstream(f"u-{index}", phase="draining")
                    time.sleep(0.5)
                    self.upstreams[index].close()
                    return
                connection.sendall(event(number))

        self.start(stream_and_leave, upstreams=2)
        status, _, text = self.ask("/stream/1")
        self.assertEqual((status, text), (200, "".join(event(n).decode() for n in range(1, EVENTS + 1))))
        self.assertEqual([run.get("Last-Event-Id") for run in self.runs], [None, "3"])

    def test_stream_that_ends_inside_an_event_is_resumed(self):
        self.start(stream_broken_once, upstreams=2)
        status, _, text = self.ask("/stream/1")
        self.assertEqual((status, text), (200, "".join(event(n).decode() for n in range(1, EVENTS + 1))))
        self.assertEqual([run.get("Last-Event-Id") for run in self.runs], [None, "3"])

    def test_stream_that_ends_inside_an_event_does_not_look_complete(self):
        self.start(stream_broken)
        status, _, text = self.ask("/stream/1")
        self.assertEqual(status, 0, f"expected the caller's connection to break, got: {text}")

    def test_stream_is_whole_for_a_caller_that_reads_slowly(self):
        self.start(stream_long)
        host, port = self.site.entry.rsplit(":", 1)
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        connection.connect((host, int(port)))
        with connection, connection.makefile("rb") as reader:
            connection.sendall((f"POST /stream/1 HTTP/1.1\r\nHost: site.example\r\nSeamarch-Request-Id: u-9\r\n"
                                f"Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n").encode())
            time.sleep(1.5)
            response = http.client.HTTPResponse(connection, method="POST")
            response.begin()
            text = b""
            while piece := response.read(65536):
                text += piece
                time.sleep(0.02)
        self.assertEqual(text, b"".join(event(n, 8192) for n in range(1, 401)))


if __name__ == "__main__":
    unittest.main()
