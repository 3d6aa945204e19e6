"""Callers for the soak that send requests without waiting for the answers (HTTP pipelining).

Some send a request in two parts, some close their sending direction after the last request and read on. The check:
a planned stop without other faults answers each request that a gateway has received.
"""

import http.client
import random
import socket
import threading
import time

PATHS = ("letters", "status", "stream")
MAX_REQUESTS = 4      # Sent at once on one connection.
TIMEOUT_S = 12
RECEIPT_S = 0.2       # A request counts as received so long after its last byte was sent.
WAVE = 6              # Connections that each have `WAVE_REQUESTS` streams in progress when a gateway stops.
WAVE_REQUESTS = 12    # All of them take longer than `WAVE_LEAD_S`.
WAVE_LEAD_S = 0.3
PAUSE_S = (0.02, 0.2)


class PipeliningCaller(threading.Thread):
    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.random = soak, random.Random(f"pipelining caller {number} of {soak.args.seed}")

    def run(self):
        while not self.soak.over:
            gateway = self.random.choice(list(self.soak.site.gateways.values()))
            requests = [self.soak.new_request(self.random.choice(PATHS), gateway, self.random)
                        for _ in range(self.random.randint(1, MAX_REQUESTS))]
            for request in requests:
                request.pipelined = True
            self.ask(gateway, requests)
            time.sleep(self.random.uniform(*PAUSE_S))

    def ask(self, gateway, requests):
        host, port = gateway.entry.split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as connection:
                self.send(connection, b"".join(map(message, requests)))
                for request in requests:
                    request.sent_at = time.monotonic()
                if self.random.random() < 0.3:
                    connection.shutdown(socket.SHUT_WR)
                read_answers(connection, requests)
        except OSError as error:
            end_unanswered(requests, f"broken: {type(error).__name__}")

    def send(self, connection, data):
        part = self.random.randint(1, len(data) - 1) if self.random.random() < 0.3 else 0
        connection.sendall(data[:part])
        time.sleep(self.random.uniform(0, 0.05) if part else 0)
        connection.sendall(data[part:])


def start_wave(soak, gateway):
    """Starts long pipelines at a gateway that is about to stop, and waits until their requests are received."""
    caller = PipeliningCaller(soak, "wave")
    for _ in range(WAVE):
        requests = [soak.new_request("stream", gateway, caller.random) for _ in range(WAVE_REQUESTS)]
        for request in requests:
            request.pipelined = True
        threading.Thread(target=caller.ask, args=(gateway, requests), daemon=True).start()
    time.sleep(WAVE_LEAD_S)


def message(request):
    """Returns the bytes of a request with a body of four bytes."""
    head = [f"POST /{request.kind}/1 HTTP/1.1", *(f"{name}: {value}" for name, value in request.head(4).items())]
    return ("\r\n".join([*head, "", ""]) + "body").encode()


def read_answers(connection, requests):
    """Reads the answers in order, each with http.client, from one buffered reader of the connection."""
    with connection.makefile("rb") as reader:
        shared = SharedReader(reader)
        for request in requests:
            if not reader.peek(1):
                break
            answer = http.client.HTTPResponse(shared, method="POST")
            with request.observed():
                answer.begin()
                request.headers = dict(answer.getheaders())
                request.text = answer.read().decode()
                request.result = answer.status
            if request.result != answer.status or answer.will_close:
                break
    end_unanswered(requests, "broken: closed")


class SharedReader:
    """Lets several http.client.HTTPResponse objects read from one buffered reader."""

    def __init__(self, reader):
        self.reader = reader

    def makefile(self, _mode):
        return UnclosedReader(self.reader)


class UnclosedReader:
    def __init__(self, reader):
        self.read, self.readline, self.readinto = reader.read, reader.readline, reader.readinto
        self.peek, self.read1 = reader.peek, reader.read1

    def close(self):
        """The connection stays open for the next answer."""

    def flush(self):
        """Nothing is written."""


def end_unanswered(requests, result):
    for request in requests:
        if request.result is None:
            request.result, request.ended_at = result, time.monotonic()


def check_stop(soak, request, has_run):
    """Checks that a request which a gateway had received before a planned stop was answered."""
    unanswered = str(request.result).startswith(("broken", "cut"))
    if not unanswered or (not has_run and request.ended_at - request.sent_at < RECEIPT_S):
        return
    for name, incarnation, begin, end in soak.planned:
        same = (request.gateway, request.incarnation) == (name, incarnation)
        if same and request.sent_at < end and request.ended_at > begin:
            soak.fail(f"{request.id} ({request.kind} at {name}) was received "
                      f"{request.ended_at - request.sent_at:.1f} s before its connection ended without an answer, "
                      "during a planned stop")
            return
