"""One entry that another writer left in the store ends every gateway, again and again.

Two gateways of one zone serve streams on kept connections. Another writer then writes one entry under
`servers/` whose field `capacity` is of another type: a list, nested in itself. The entry is 600,148 bytes of
the 1,048,576 that a value may have. As DEPLOY.md says, a process that ends is started again after a short
delay. In TROUBLE=0 the other writer's entry holds a text in that field instead.
"""

import asyncio
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lib  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEPTH = 300_000
VALUE_BYTES = 1_048_576      # `value-bytes`
CLIENTS, EVENTS, EVENT_S = 12, 24, 0.062
BEFORE_S, AFTER_S = 4.0, 12.0
RESTART_S = 0.3

record = lib.Record(HERE)
loop = lib.Loop()
runs = set()


async def replica(reader, writer, name):
    """A sound replica: streams all events of each request."""
    try:
        while (request := await lib.read_request(reader)) is not None:
            number = request.header("seamarch-request-id")
            runs.add(number)
            record(f"{name} runs {number}")
            writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSeamarch-Request-Id: {number}\r\n"
                          "Seamarch-Replica-Signature: proof\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for event in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                piece = f"id: {event}\ndata: t\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


class Platform(threading.Thread):
    """Starts a gateway again that has ended by itself."""

    def __init__(self, gateways):
        super().__init__(daemon=True)
        self.gateways, self.ends, self.over = gateways, {gateway.name: [] for gateway in gateways}, False

    def run(self):
        while not self.over:
            for gateway in self.gateways:
                code = gateway.popen.poll()
                if code is not None and not self.over:
                    self.ends[gateway.name].append(code)
                    record(f"{gateway.name} ended by itself with code {code}; it is started again")
                    time.sleep(RESTART_S)
                    gateway.start()
            time.sleep(0.01)


async def client(gateway, index, results, over):
    """Sends one stream after the other on a kept connection, and connects anew when that has ended."""
    reader = writer = None
    turn = 0
    while not over:
        turn += 1
        number, kept, result = f"q-{index}-{turn}", writer is not None, ""
        try:
            if not kept:
                reader, writer = await asyncio.open_connection(*lib.split(gateway.entry))
            writer.write(lib.request_bytes("POST", "/brief/1", number, f"prompt {number}".encode()))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            result = head.split()[1].decode()
            while b"chunked" in head.lower():
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), 10), 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    break
            if b"chunked" not in head.lower():
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
            if b"connection: close" in head.lower():
                writer.close()
                writer = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            result = f"cut: {type(error).__name__}" if writer is not None else "no connection"
            writer = None
        record(f"client {index}, {'kept' if kept else 'new'} connection to {gateway.name}: {number}: {result}")
        results.append((time.monotonic(), number, kept, result))
        await asyncio.sleep(0.05 if result == "200" else 0.3)


async def traffic(gateways, results, over):
    await asyncio.gather(*(client(gateways[index % len(gateways)], index, results, over)
                           for index in range(CLIENTS)))


def main():
    log = open(os.path.join(HERE, "gateway.log"), "w", encoding="utf-8")
    store = lib.Store(loop)
    store.put("op/config", lib.config(1, [lib.route("brief", "/brief/", "streaming", "scribe",
                                                    **{"target-gap-ms": 120})]))
    for number in range(6):
        address = lib.free_address()
        loop.serve(address, lambda reader, writer, name=f"i-{number}": replica(reader, writer, name))
        store.put(f"servers/i-{number}", lib.entry("scribe", address))
    peers = [lib.free_address(), lib.free_address()]
    gateways = [lib.Gateway(store, log, f"edge-hall-1-{number + 1}", "hall-1", peers[number], peers).start()
                for number in range(2)]
    platform = Platform(gateways)
    results, over = [], []
    try:
        if not all(gateway.wait_ready() for gateway in gateways):
            record("a gateway did not become ready")
            return 2
        platform.start()
        ended = asyncio.run_coroutine_threadsafe(traffic(gateways, results, over), loop.loop)
        time.sleep(BEFORE_S)
        fields = lib.entry("scribe", lib.free_address())
        del fields["capacity"]
        nested = "[" * DEPTH + "]" * DEPTH if TROUBLE else '"twelve"'
        value = f'{json.dumps(fields)[:-1]}, "capacity": {nested}}}'.encode()
        assert len(value) <= VALUE_BYTES
        json_key = "servers/i-other"
        written = loop.run(store._write(json_key, value))
        record(f"another writer writes {json_key}, {len(value)} bytes")
        time.sleep(AFTER_S)
        over.append(True)
        ended.result(20)
    finally:
        platform.over = True
        for gateway in gateways:
            gateway.end()
    lost = [number for _, number, kept, result in results if kept and result.startswith("cut") and number in runs]
    late = [result for at, _, _, result in results if at > written + AFTER_S / 2]
    line = (f"ends by themselves: {platform.ends}; {len(lost)} requests of kept connections passed on and cut off; "
            f"in the last {AFTER_S / 2:.0f} s {late.count('200')} of {len(late)} tries served")
    record(line)
    print(line)
    return 1 if len(lost) > 3 else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
