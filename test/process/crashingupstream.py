"""An upstream that crashes on a prompt part or a text, at a chosen point of its answer.

Usage: crashingupstream.py ADDRESS ID SETTINGS, with SETTINGS as a JSON object:

    "endsOnPart": PART   crashes on requests with this prompt part
    "endsOn": TEXT       crashes on requests whose body contains TEXT
    "point": POINT       when it crashes: "request" (before the head of the answer), "head" (after it), "event"
                         (after the first event of a stream, inside any other body) or "partial" (inside an event
                         or a body)
    "plain": true        it is asked by agents, whose requests have no headers of the platform
    "unframed": true     its answers have neither a length nor chunks and end with their connection

It is a process of its own, so that the kernel ends its connections when it crashes.
"""

import http.client
import json
import os
import socket
import sys
import threading
import time

EXIT_CODE = 70  # As seamarch-standin when a request makes it exit.
EVENTS = 10
DELAY_S = 0.005        # Before the answer and between events.
CRASH_DELAY_S = 0.02   # Lets the bytes before a crash reach the gateway.
BODY = b'{"served":true}'


class Answer:
    """Writes one answer, framed or not."""

    def __init__(self, connection, request_id, instance, streams, unframed):
        self.connection, self.chunked = connection, streams and not unframed
        lines = ["HTTP/1.1 200 OK", f"Seamarch-Request-Id: {request_id}",
                 f"Seamarch-Replica-Signature: proof-of-{instance}",
                 f"Content-Type: {'text/event-stream' if streams else 'application/json'}"]
        if not unframed:
            lines.append("Transfer-Encoding: chunked" if streams else f"Content-Length: {len(BODY)}")
        connection.sendall("\r\n".join([*lines, "", ""]).encode())

    def write(self, data):
        self.connection.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n" if self.chunked else data)

    def finish(self):
        if self.chunked:
            self.connection.sendall(b"0\r\n\r\n")


class Upstream:
    def __init__(self, instance, settings):
        self.instance, self.point = instance, settings.get("point", "head")
        self.unframed, self.plain = settings.get("unframed", False), settings.get("plain", False)
        self.part, self.text = settings.get("endsOnPart", ""), settings.get("endsOn", "")

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection, connection.makefile("rb") as reader:
                while self.serve_request(connection, reader):
                    pass
        except OSError:
            pass  # The caller has left.

    def serve_request(self, connection, reader):
        """Answers one request. Returns whether another one may follow on the connection."""
        line = reader.readline().split()
        if not line:
            return False
        headers = http.client.parse_headers(reader)
        body = reader.read(int(headers.get("Content-Length") or 0)).decode()
        request_id = headers.get("Seamarch-Request-Id", "")
        if self.plain and line[0] == b"GET":
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        if headers.get("Seamarch-Expect-Instance") not in (None, self.instance):
            return self.refuse(connection, 421, request_id)
        if not request_id and not self.plain:
            return self.refuse(connection, 400, request_id)
        poison = self.part and self.part in headers.get("Seamarch-Prefix-Hash", "") or self.text and self.text in body
        self.answer(connection, line[1].decode(), headers, poison)
        return not self.unframed

    def refuse(self, connection, status, request_id):
        connection.sendall(f"HTTP/1.1 {status} Refused\r\nSeamarch-Request-Id: {request_id}\r\n"
                           "Seamarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
        return True

    def crash(self, poison, point):
        if poison and point == self.point:
            time.sleep(CRASH_DELAY_S)
            os._exit(EXIT_CODE)

    def answer(self, connection, path, headers, poison):
        time.sleep(DELAY_S)
        self.crash(poison, "request")
        streams = "/stream" in path
        answer = Answer(connection, headers.get("Seamarch-Request-Id", ""), self.instance, streams, self.unframed)
        self.crash(poison, "head")
        if streams:
            self.stream(answer, int(headers.get("Last-Event-Id") or 0), poison)
        else:
            answer.write(BODY[:5])
            self.crash(poison, "event")
            self.crash(poison, "partial")
            answer.write(BODY[5:])
        answer.finish()

    def stream(self, answer, after, poison):
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if poison and self.point == "partial":
                answer.write(event[:-4])
                self.crash(poison, "partial")
            answer.write(event)
            self.crash(poison, "event")
            time.sleep(DELAY_S)


def main():
    address, instance, settings = sys.argv[1:4]
    host, port = address.rsplit(":", 1)
    upstream = Upstream(instance, json.loads(settings))
    with socket.create_server((host, int(port)), backlog=512) as listener:
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=upstream.serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
