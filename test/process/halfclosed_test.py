"""Checks that a caller who has finished sending still gets its answer, and that one who has left does not.

The failure: a caller may close its sending direction after the last request of a connection and read on
(`shutdown(SHUT_WR)`). A gateway that takes the end of the received data for a disconnect closes the connection
without an answer, although an upstream runs the request. A caller who has closed the connection completely looks
the same until something is sent to it.

The log line `caller.finished_sending` names the request; its `request.ended` says how it went on.
"""

import http.client
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import KEY, GatewaySite  # noqa: E402
from localsite import control  # noqa: E402

MAX_LOST = 3        # Requests of kept connections that may end without an answer.
NOTICE_S = 0.5      # Upstreams must stop work so long after a caller has left.
ANSWER_DELAY_MS = 60
EVENTS = 10


def request(path, number, *headers):
    lines = [f"POST {path} HTTP/1.1", "Host: site.example", f"Seamarch-Request-Id: {number}",
             f"Authorization: Token {KEY}", "Seamarch-Deadline-Ms: 4000", "Content-Length: 1", *headers]
    return ("\r\n".join([*lines, "", ""]) + "x").encode()


def receive_all(connection):
    """Returns what arrives until the peer closes the connection, or b"" if it was reset."""
    received = b""
    try:
        while piece := connection.recv(65536):
            received += piece
    except OSError:
        return b""
    return received


class HalfClosedCase(unittest.TestCase):
    def setUp(self):
        self.site = GatewaySite()
        self.addCleanup(self.site.__exit__)
        self.site.set_all(delayMs=ANSWER_DELAY_MS)

    def connect(self):
        host, port = self.site.entry.split(":")
        connection = socket.create_connection((host, int(port)), timeout=6)
        self.addCleanup(connection.close)
        return connection


class HalfClosedTest(HalfClosedCase):
    CALLERS = 12

    def answer(self, path, number, pause):
        """Sends a request on a kept connection, closes the sending direction and returns the answer."""
        connection = self.connect()
        connection.sendall(request("/status/1", f"first-{number}"))
        while b'"served"' not in connection.recv(65536):
            pass
        connection.sendall(request(path, f"last-{number}"))
        time.sleep(pause)
        connection.shutdown(socket.SHUT_WR)
        return receive_all(connection)

    def check_answered(self, path, whole, pause=0.02):
        answers = [None] * self.CALLERS

        def ask(number):
            answers[number] = self.answer(path, number, pause)
        threads = [threading.Thread(target=ask, args=(number,)) for number in range(self.CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lost = [answer for answer in answers if whole not in answer]
        self.assertLessEqual(len(lost), MAX_LOST, f"{len(lost)} of {self.CALLERS} requests to {path} ended without a "
                             f"complete answer; expected {MAX_LOST} at most, found {lost[:2]}")

    # Guards against answers that are dropped because their callers have finished sending.
    def test_repeatable_requests_are_answered(self):
        self.check_answered("/status/1", b'"served":true')

    def test_requests_that_may_run_once_are_answered(self):
        self.check_answered("/letters/1", b'"served":true')

    def test_streams_are_answered_to_their_end(self):
        self.check_answered("/stream/1", b"0\r\n\r\n")

    # The sending direction is closed after some events have been sent.
    def test_streams_that_have_begun_are_answered_to_their_end(self):
        self.check_answered("/stream/1", b"0\r\n\r\n", pause=4 * ANSWER_DELAY_MS / 1000)

    def test_all_pipelined_requests_are_answered(self):
        connection = self.connect()
        connection.sendall(b"".join(request("/letters/1", f"pipelined-{number}") for number in range(4)))
        connection.shutdown(socket.SHUT_WR)
        received = receive_all(connection)
        self.assertEqual(received.count(b'"served":true'), 4, f"expected four answers, found {received}")


class BrokenStreamTest(HalfClosedCase):
    # Guards against broken streams that look complete to a caller who has finished sending.
    def test_stream_that_breaks_off_does_not_look_complete(self):
        self.site.set_all(breakAfter=4)
        for step in range(8):
            connection = self.connect()
            connection.sendall(request("/stream/1", f"broken-{step}"))
            time.sleep(step * ANSWER_DELAY_MS / 1000)
            connection.shutdown(socket.SHUT_WR)
            response = http.client.HTTPResponse(connection, method="POST")
            with self.assertRaises((OSError, http.client.HTTPException), msg="the broken stream looks complete"):
                response.begin()
                response.read()


class DepartedCallerTest(HalfClosedCase):
    LONG_DELAY_MS = 2500
    CALLERS = 8

    def check_stopped(self, path, pause):
        """Callers close their connections `pause` seconds after a request."""
        control(self.site.upstreams["i-1"], {"delayMs": self.LONG_DELAY_MS})
        control(self.site.upstreams["i-2"], {"delayMs": self.LONG_DELAY_MS})
        for number in range(self.CALLERS):
            connection = self.connect()
            connection.sendall(request(path, f"left-{number}"))
            time.sleep(pause)
            connection.close()
        time.sleep(NOTICE_S)
        open_requests = [control(address, {})["open"] for address in self.site.upstreams.values()]
        self.assertLessEqual(sum(open_requests), self.CALLERS // 4, f"upstreams still work on {open_requests} of "
                             f"{self.CALLERS} requests {NOTICE_S} s after their callers have left")

    # Guards against work that goes on because a caller who has left is taken for one that still reads.
    def test_requests_of_callers_who_left_are_cancelled(self):
        self.check_stopped("/status/1", 0.05)

    def test_streams_of_callers_who_left_are_cancelled(self):
        self.check_stopped("/stream/1", 0.05)


if __name__ == "__main__":
    unittest.main()
