"""Checks that a gateway which is told to stop answers every request that it has received.

The failure: from SIGTERM on, each answer announced the end of its connection and the connection was closed behind
it. Requests that the gateway had received on the same connection meanwhile (HTTP pipelining) were dropped without
an answer. Requests without an answer at the end of the stop were cut off in the same way.

The log line `gateway.stopped` has the number of requests that were cut off.
"""

import os
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(__file__))
from gateway_test import GatewaySite  # noqa: E402
from halfclosed_test import receive_all, request  # noqa: E402

STOP_LIMIT_S = 8
SLACK_S = 0.2  # Requests whose last byte was sent earlier than this before the end must be answered.


class DeploymentSite(GatewaySite):
    stop_settings = f"stop-limit-s = {STOP_LIMIT_S}\n"


class StoppingCase(unittest.TestCase):
    def setUp(self):
        self.site = DeploymentSite()
        self.addCleanup(self.site.__exit__)

    def connect(self):
        host, port = self.site.entry.split(":")
        connection = socket.create_connection((host, int(port)), timeout=2 * STOP_LIMIT_S)
        self.addCleanup(connection.close)
        return connection


class PipelinedRequestsTest(StoppingCase):
    CONNECTIONS = 6
    ANSWER_DELAY_MS = 500
    PATHS = ("/letters/1", "/status/1", "/letters/2")

    def check_all_answered(self, *signals):
        self.site.set_all(delayMs=self.ANSWER_DELAY_MS)
        connections = [self.connect() for _ in range(self.CONNECTIONS)]
        for number, connection in enumerate(connections):
            connection.sendall(b"".join(request(path, f"pipelined-{number}{path}") for path in self.PATHS))
        time.sleep(SLACK_S)
        for signal_number in signals:
            self.site.gateway.send(signal_number)
            time.sleep(0.05)
        answered = [receive_all(connection).count(b'"served":true') for connection in connections]
        expected = [len(self.PATHS)] * self.CONNECTIONS
        self.assertEqual(answered, expected, f"expected {len(self.PATHS)} answers on each connection, as all requests "
                         f"were received before the stop; found {answered}")

    # Guards against pipelined requests that are dropped by a planned stop.
    def test_pipelined_requests_are_answered_by_a_stop(self):
        self.check_all_answered(signal.SIGTERM)

    def test_pipelined_requests_are_answered_by_reloads_and_a_stop(self):
        self.check_all_answered(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)


class EndOfStopTest(StoppingCase):
    CALLERS_BY_PATH = 8
    PAUSE_S = 0.3
    ANSWER_DELAY_MS = 12000

    def setUp(self):
        super().setUp()
        self.answers = {}

    def ask(self, path, number):
        connection = self.connect()
        connection.sendall(request(path, f"waiting-{number}{path}").replace(b"4000", b"9000"))
        self.answers[path, number] = receive_all(connection)

    # Guards against requests that are cut off without an answer when the time of a stop is over.
    def test_requests_that_are_not_served_in_time_get_an_answer(self):
        self.site.set_all(delayMs=self.ANSWER_DELAY_MS)
        self.site.gateway.send(signal.SIGTERM)
        threads = []
        for number in range(self.CALLERS_BY_PATH):
            for path in ("/stream/1", "/status/1", "/letters/1"):
                threads.append(threading.Thread(target=self.ask, args=(path, number)))
                threads[-1].start()
            time.sleep(self.PAUSE_S)
        for thread in threads:
            thread.join()
        cut = sorted(asked for asked, answer in self.answers.items() if not answer.startswith(b"HTTP/1.1 "))
        self.assertEqual(cut, [], "expected an answer to each request, if only that its result is not known; see "
                         "`cutOff` of `gateway.stopped`")


class LateConnectionsTest(StoppingCase):
    ANSWER_DELAY_MS = 500   # Between the events of a stream.
    REFUSING_S = 3.2        # Time after SIGTERM from which requests are refused.
    CONNECTIONS = 20
    REQUEST_DELAY_S = 0.03  # Between a connection and its request.

    # Guards against new connections that are closed without an answer while the gateway serves its last requests.
    def test_requests_of_new_connections_are_refused(self):
        self.site.set_all(delayMs=self.ANSWER_DELAY_MS)
        last = self.connect()
        self.site.gateway.send(signal.SIGTERM)
        time.sleep(self.REFUSING_S / 2)
        last.sendall(request("/stream/1", "last").replace(b"4000", b"6000"))
        time.sleep(self.REFUSING_S / 2)
        answers = []
        for number in range(self.CONNECTIONS):
            connection = self.connect()
            time.sleep(self.REQUEST_DELAY_S)
            try:
                connection.sendall(request("/status/1", f"late-{number}"))
                answers.append(receive_all(connection))
            except OSError:
                answers.append(b"")
        refused = [answer for answer in answers if answer.startswith(b"HTTP/1.1 503") and b"not-run" in answer]
        self.assertEqual(len(refused), self.CONNECTIONS, "expected a refusal of each request, found "
                         f"{[answer[:30] for answer in answers]}")


if __name__ == "__main__":
    unittest.main()
