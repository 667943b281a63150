"""A TCP proxy in front of a runner that can go silent. Usage: dark_proxy.py HOST:PORT TARGET

SIGUSR1 begins the silence: nothing is forwarded and no connection is closed, even if the target closes
its side. SIGUSR2 ends it. A connection that was opened meanwhile then reaches whatever listens there.
"""

import asyncio
import signal
import sys


async def main():
    address, target = sys.argv[1:]
    is_open = asyncio.Event()
    is_open.set()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, is_open.clear)
    loop.add_signal_handler(signal.SIGUSR2, is_open.set)

    async def forward(reader, writer):
        try:
            while piece := await reader.read(1 << 16):
                await is_open.wait()
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            await is_open.wait()
            writer.close()

    async def connection(reader, writer):
        await is_open.wait()
        host, port = target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(forward(reader, far_writer), forward(far_reader, writer))

    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(connection, host, int(port), backlog=512)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
