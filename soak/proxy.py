"""A loopback TCP proxy that injects network faults.

Each proxy forwards to one target. Its mode applies to all connections, including open ones: `pass`,
`delay` (by 150 ms), `silent` (accepts connections and forwards nothing), `one_way` (forwards requests
and holds answers) and `reset` (resets open and new connections). Held bytes are forwarded when the mode
changes back. `plant` selects a planted fault that the soak's checks must detect: `twice` sends each
request again on a separate connection, `skip` removes one event from every stream, `deaf` renames the
Retry-After header of answers, `unbound` renames their Server-Limit header, and `flood` adds
many requests to each.
"""

import asyncio
import re
import socket
import struct
import threading

_FLOOD = 200 * b"GET /flood HTTP/1.1\r\nHost: store.example\r\n\r\n"
_EVENT = re.compile(rb"id: 5\ndata: token 5\n\n")


class ProxyLoop:
    """An event loop on its own thread that serves all proxies of a run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def end(self):
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    @staticmethod
    async def _cancel_all():
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


class Proxy:
    def __init__(self, loop, address, target, plant=""):
        self.loop, self.address, self.target, self.plant = loop, address, target, plant
        self.mode, self.writers, self.requests = "pass", set(), 0  # The requests forwarded so far.
        host, port = address.split(":")
        self.server = loop.run(self._start(host, int(port)))

    async def _start(self, host, port):
        return await asyncio.start_server(self._serve, host, port)

    def set(self, mode):
        self.loop.run(self._set(mode))

    async def _set(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                self._reset(writer)

    @staticmethod
    def _reset(writer):
        raw = writer.get_extra_info("socket")
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # The socket is already closed.
        writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            self._reset(writer)
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._reset(writer)
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self._pump(reader, target_writer, True),
                                 self._pump(target_reader, writer, False))
        except asyncio.CancelledError:
            pass  # ProxyLoop.end() cancels all tasks.
        finally:
            self.writers -= {writer, target_writer}

    def _held(self, to_target):
        return self.mode == "silent" or (self.mode == "one_way" and not to_target)

    async def _pump(self, reader, writer, to_target):
        try:
            while True:
                chunk = await reader.read(65536)
                while self._held(to_target):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if not chunk:
                    break
                if self.plant in ("twice", "flood") and to_target:
                    asyncio.ensure_future(self._send_apart(chunk if self.plant == "twice" else _FLOOD))
                if self.plant == "skip" and not to_target:
                    chunk = self._without_event(chunk)
                if self.plant == "deaf" and not to_target:
                    chunk = chunk.replace(b"Retry-After", b"X-Not-Heard")
                if self.plant == "unbound" and not to_target:
                    chunk = chunk.replace(b"Server-Limit", b"X-Not-Heard-")
                self.requests += self._requests_in(chunk) if to_target else 0
                writer.write(chunk)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            self._reset(writer)
        finally:
            writer.close()

    @staticmethod
    def _requests_in(chunk):
        return chunk.count(b" HTTP/1.1\r\n")

    async def _send_apart(self, requests):
        host, port = self.target.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        self.requests += self._requests_in(requests)
        writer.write(requests)
        await asyncio.sleep(0.5)
        writer.close()

    @staticmethod
    def _without_event(chunk):
        # Replaces the event by a comment of the same size so that the HTTP chunk length stays valid.
        return _EVENT.sub(lambda found: b":" * (len(found.group()) - 2) + b"\n\n", chunk)
