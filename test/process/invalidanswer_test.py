"""Checks that answers that are no HTTP, or that a reset cut off, never reach callers as answers.

Every upstream here answers like that, so a caller must get a failure of the gateway, or an answer of an upstream that is
sound.
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

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
UPLOAD = "x" * 4_000_000  # More than the kernel buffers for a connection whose peer does not read.


class RawUpstream:
    """An upstream that sends bytes of its own. `answer` gets the connection, the head's proof and the run's number."""

    def __init__(self, answer, runs):
        self.address, self.answer, self.runs = free_address(), answer, runs
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
        with connection, connection.makefile("rb", 0) as reader:
            if not reader.readline():
                return
            headers = http.client.parse_headers(reader)
            number = headers.get("Seamarch-Request-Id")
            if number is None:  # The gateway asks whether the process runs.
                connection.sendall(b"HTTP/1.1 400 Bad Request\r\nSeamarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                return
            self.runs.append(headers)
            proof = f"Seamarch-Request-Id: {number}\r\nSeamarch-Replica-Signature: proof\r\n"
            try:
                self.answer(connection, proof, len(self.runs))
            except OSError:
                pass  # The gateway has closed the connection.

    def close(self):
        self.listener.close()


def sound(connection, proof):
    connection.sendall(f"HTTP/1.1 200 OK\r\n{proof}Connection: close\r\nContent-Length: 4\r\n\r\ngood".encode())


class InvalidAnswerTest(unittest.TestCase):
    def start(self, answer, upstreams=1):
        self.site = GatewaySite(upstreams=0)
        self.addCleanup(self.site.__exit__)
        self.runs = []
        for number in range(upstreams):
            upstream = RawUpstream(answer, self.runs)
            self.addCleanup(upstream.close)
            self.site.upstreams[f"u-{number}"] = upstream.address
            self.site.list_upstream(f"u-{number}")
        self.site.wait_until("the gateway lists the upstreams",
                             lambda: self.site.status()["upstreams"] == upstreams)

    def ask(self, path, body="x"):
        headers = {"Host": "site.example", "Seamarch-Request-Id": "u-1", "Authorization": f"Token {KEY}",
                   "Seamarch-Deadline-Ms": "5000"}
        return call(self.site.entry, path, body, headers, 8, "POST")

    def check_invalid(self, text):
        """Checks that the answer `text`, with the proof for %s, is neither passed on nor taken for the request's."""
        def answer(connection, proof, run):
            if run == 1:
                connection.sendall((text % proof).encode("latin-1"))
                time.sleep(0.2)
            else:
                sound(connection, proof)

        with self.subTest(answer=text):
            self.start(answer, upstreams=2)
            self.assertEqual(self.ask("/status/1")[::2], (200, "good"))
            self.runs.clear()
            status, headers, _ = self.ask("/letters/1")
            self.assertEqual((status, headers.get("Seamarch-Outcome")), (502, "unknown"))
            self.assertNotIn("Seamarch-Replica-Signature", headers)

    # Guards against the part of an answer that came before a reset during the upload, taken for a whole answer.
    def test_answer_that_is_reset_during_the_upload_is_incomplete(self):
        def answer(connection, proof, run):
            if run % 2 == 0:
                while connection.recv(65536).count(b"x") == 65536:
                    pass
                sound(connection, proof)
                return
            connection.sendall(f"HTTP/1.1 200 OK\r\n{proof}\r\npart".encode())
            time.sleep(0.1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

        self.start(answer)
        for _ in range(5):
            self.runs.clear()
            status, headers, text = self.ask("/letters/1", UPLOAD)
            self.assertEqual((status, headers.get("Seamarch-Outcome")), (502, "unknown"), text)
            self.assertEqual(len(self.runs), 1)

    # Guards against a stream that looks complete though a reset during the upload cut it off.
    def test_stream_that_is_reset_during_the_upload_is_incomplete(self):
        def answer(connection, proof, _run):
            connection.sendall(f"HTTP/1.1 200 OK\r\n{proof}Content-Type: text/event-stream\r\n\r\n"
                               "id: 1\ndata: one\n\n".encode())
            time.sleep(0.1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

        self.start(answer)
        status, _, text = self.ask("/stream/1", UPLOAD)
        self.assertEqual(status, 0, f"expected the caller's connection to break, got: {text}")

    # Guards against a status that HTTP does not have, passed on or skipped like an interim response.
    def test_status_that_http_does_not_have_is_no_answer(self):
        for status in ("000 None", "099 Low", "600 High", "0200 OK", " 200 OK", "20 OK"):
            self.check_invalid(f"HTTP/1.1 {status}\r\n%sContent-Length: 0\r\n\r\n")

    # Guards against a response that follows a malformed one on the connection, taken for the request's.
    def test_answer_after_status_000_is_not_the_requests(self):
        self.check_invalid("HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nother")

    # Guards against a head in which the name of a field is no token.
    def test_field_whose_name_is_no_token_is_no_answer(self):
        for line in ("Some Name: x", "Some\tName: x", "Some\x01Name: x", "Content-Length : 9", "Some\x7fName: x",
                     "Some\x00Name: x", " Folded: x", "No colon", ": x"):
            self.check_invalid(f"HTTP/1.1 200 OK\r\n%s{line}\r\nContent-Length: 2\r\n\r\nhi")

    # Guards against an interim response with a malformed field before a sound answer.
    def test_malformed_interim_response_is_no_answer(self):
        self.check_invalid("HTTP/1.1 103 Early Hints\r\nSome Name: x\r\n\r\n"
                           "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi")

    # Guards against a chunked body whose trailer is malformed.
    def test_malformed_trailer_is_no_answer(self):
        for trailer in ("Some Name: x\r\n", "Name : x\r\n", "Some\x01Name: x\r\n", "Name: x\r\n folded\r\n", "Name: x\n"):
            self.check_invalid(f"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n{trailer}\r\n")

    # Guards against a body whose chunks are malformed, or coded in another way as well.
    def test_malformed_chunks_are_no_answer(self):
        head = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
        for body in ("2\rXhi\r\n0\r\n\r\n", "2\r\nhiXX0\r\n\r\n", "2;a\x01=b\r\nhi\r\n0\r\n\r\n", "2\r\nhi\r\n0\r\n\n"):
            self.check_invalid(head + body)
        for coding in ("gzip, chunked", "gzip", "chunked\r\nTransfer-Encoding: chunked"):
            self.check_invalid(f"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: {coding}\r\n\r\n2\r\nhi\r\n0\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
