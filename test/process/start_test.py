"""Checks that gateways and expert agents start although something is not as it should be yet.

The failure: a process ended itself at its start when an address was in use, also the one for metrics, or when it read
its settings while they were written. The reason was not in its log, nor that of an exception that ended it.
"""

import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
from localsite import BIN, Process, call, free_address  # noqa: E402

ADDRESS_SPACE_BYTES = 200 << 20
ROLES = {"gateway": ("listen", "operator-listen", "peer-listen"), "expertagent": ("listen",)}


def occupy(address):
    host, port = address.rsplit(":", 1)
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, int(port)))
    holder.listen()
    return holder


class StartTest(unittest.TestCase):
    def setUp(self):
        self.file = tempfile.NamedTemporaryFile("w+", suffix=".conf")

    def settings(self, role, **more):
        values = {"instance": "i-1", "hall": "north", "platform": free_address(), "metrics-listen": free_address(),
                  "listen": free_address()}
        if role == "gateway":
            values |= {"operator-listen": free_address(), "peer-listen": free_address()}
        else:
            values |= {"service": "portal", "upstream": free_address()}
        return values | more

    def write(self, values):
        self.file.seek(0)
        self.file.truncate()
        self.file.write("".join(f"{name} = {value}\n" for name, value in values.items()))
        self.file.flush()

    def start(self, role):
        self.log = tempfile.NamedTemporaryFile("w+", suffix=".log")
        process = Process([os.path.join(BIN, "seamarchd"), role, "--config", self.file.name], self.log)
        self.addCleanup(process.end)
        return process

    def lines(self):
        with open(self.log.name, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.startswith("{")]

    def wait_until(self, condition, check, process=None, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if check():
                return
            if process is not None:
                self.assertIsNone(process.popen.poll(), f"the process ended while this was awaited: {condition}")
            time.sleep(0.02)
        self.fail(f"timed out after {seconds} s waiting for: {condition}")

    def started(self):
        return any(line["event"] == "process.started" for line in self.lines())

    # Guards against a process that ends because the address for metrics is in use, which no caller needs.
    def test_process_runs_without_its_metrics_address_until_that_is_free(self):
        for role in ROLES:
            with self.subTest(role=role):
                values = self.settings(role)
                self.write(values)
                with occupy(values["metrics-listen"]):
                    process = self.start(role)
                    self.wait_until("the process has started", self.started, process)
                self.wait_until("metrics are served",
                                lambda: call(values["metrics-listen"], "/metrics", timeout=2)[0] == 200, process)
                process.end()

    # Guards against a process that ends because another one holds its address for a moment longer.
    def test_process_waits_for_an_address_that_is_in_use(self):
        for role, names in ROLES.items():
            for name in names:
                with self.subTest(role=role, address=name):
                    values = self.settings(role)
                    self.write(values)
                    with occupy(values[name]):
                        process = self.start(role)
                        self.wait_until("the process says what it waits for", lambda: any(
                            line["event"] == "start.postponed" and values[name] in line["message"]
                            for line in self.lines()), process)
                    self.wait_until("the process has started", self.started, process)
                    process.end()
    
    # Guards against a process that ignores a stop while it waits, or that crashes as it gives up.
    def test_process_that_waits_for_an_address_can_be_stopped(self):
        for role in ROLES:
            with self.subTest(role=role):
                values = self.settings(role)
                self.write(values)
                with occupy(values["listen"]):
                    process = self.start(role)
                    self.wait_until("the process waits", lambda: any(
                        line["event"] == "start.postponed" for line in self.lines()), process)
                    process.send(signal.SIGTERM)
                    self.assertEqual(process.wait(10), 0)
                self.assertIn(values["listen"], self.lines()[-1]["message"])

    # Guards against a process that ends because it reads its settings while they are written.
    def test_process_starts_although_its_settings_are_still_being_written(self):
        for role in ROLES:
            with self.subTest(role=role):
                values = self.settings(role)
                self.write({})
                process = self.start(role)
                time.sleep(0.2)
                self.write(values)
                self.wait_until("the process has started", self.started, process)
                process.end()

    # Guards against a process that takes only whole numbers for times and sizes.
    def test_process_starts_with_fractions_in_its_settings(self):
        self.write(self.settings("gateway") | {"key-life-ms": "5000.0", "config-spread-ms": "1999.5",
                                               "memory-mb": "259.5"})
        process = self.start("gateway")
        self.wait_until("the process has started", self.started, process)

    # Guards against a process that ends by itself and leaves no reason in its log.
    def test_process_that_runs_out_of_memory_says_so(self):
        values = self.settings("gateway")
        self.write(values)
        process = self.start("gateway")
        self.wait_until("the process has started", self.started, process)
        resource.prlimit(process.popen.pid, resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES, ADDRESS_SPACE_BYTES))
        host, port = values["listen"].rsplit(":", 1)
        callers = []
        while process.popen.poll() is None and len(callers) < 100:
            try:
                callers.append(socket.create_connection((host, int(port)), timeout=2))
                callers[-1].sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n" + b"x" * 7_900_000)
            except OSError:
                break
        self.assertEqual(process.wait(10), -signal.SIGABRT)
        for caller in callers:
            caller.close()
        self.assertEqual((self.lines()[-1]["event"], self.lines()[-1]["message"]), ("process.failed", "std::bad_alloc"))


if __name__ == "__main__":
    unittest.main()
