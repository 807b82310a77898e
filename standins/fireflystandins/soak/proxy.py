"""Proxies on loopback whose links can be struck.

They run on an event loop in a thread of its own, since nodes need them
before the callers' loop runs.
"""

import asyncio
import collections.abc
import contextlib
import socket
import struct
import threading

from fireflystandins import local

PART_BYTES = 65536
DELAY_S = 0.15
_HELD_REQUESTS = frozenset({"silent", "unheard"})
_HELD_ANSWERS = frozenset({"silent", "unanswered"})


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other side sees a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Proxy:
    """Forwards the connections to one address.

    A ``silent`` link delivers nothing until it heals, in both directions;
    an ``unanswered`` one delivers what is asked but no answers, an
    ``unheard`` one answers alone; a ``slow`` one delivers each part later;
    a ``reset`` one breaks its connections off and takes none; a ``refused``
    one keeps its connections and takes no new ones.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self._address = ""
        self._mode = ""
        self._is_delivering = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Listen on an address."""
        self._address = address
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    def close(self) -> None:
        """Listen no longer."""
        if self._server is not None:
            self._server.close()

    async def set_mode(self, mode: str) -> None:
        """Strike the link; an empty mode heals it."""
        if self._mode == "refused" and mode != "refused":
            await self.listen(self._address)
        self._mode = mode
        if mode == "refused":
            self.close()
        if mode == "reset":
            for writer in list(self._writers):
                _reset(writer)
        async with self._is_delivering:
            self._is_delivering.notify_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self.target.rsplit(":", 1)
        try:
            if self._mode == "reset":
                raise ConnectionResetError
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        await asyncio.gather(
            self._forward(reader, there[1], _HELD_REQUESTS),
            self._forward(there[0], writer, _HELD_ANSWERS),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: frozenset[str],
    ) -> None:
        self._writers.add(writer)
        try:
            while data := await reader.read(PART_BYTES):
                async with self._is_delivering:
                    await self._is_delivering.wait_for(
                        lambda: self._mode not in held
                    )
                if self._mode == "slow":
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.CancelledError):
            _reset(writer)
        finally:
            self._writers.discard(writer)


class ProxyThread:
    """The thread and the event loop of all proxies."""

    def __init__(self) -> None:
        self._proxies: list[Proxy] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )

    def add(self, target: str) -> tuple[Proxy, str]:
        """Return a proxy that listens, and its address."""
        address = f"127.0.0.1:{local.free_port()}"
        proxy = Proxy(target)
        self._call(proxy.listen(address))
        self._proxies.append(proxy)
        return proxy, address

    def strike(self, proxy: Proxy, mode: str) -> None:
        """Set the mode of a proxy."""
        self._call(proxy.set_mode(mode))

    def _call(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()

    @contextlib.contextmanager
    def running(self) -> collections.abc.Generator["ProxyThread", None, None]:
        """Run the loop during the block."""
        self._thread.start()
        try:
            yield self
        finally:
            self._call(self._end())
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    async def _end(self) -> None:
        for proxy in self._proxies:
            proxy.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
