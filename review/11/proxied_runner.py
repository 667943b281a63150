"""A runner behind a proxy, whose clock begins at a given value.

Usage: proxied_runner.py LISTEN CLOCK_MS ADDRESS STORE ID SERVICE CPU_MILLIS MEM_MB KIND RECORD

It listens at LISTEN and registers ADDRESS, that of the proxy; the rest is as in runner.py.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-c"))

import http1
import runner as runners


class Runner(runners.Runner):
    first_clock_ms = 0

    def clock_ms(self):
        return self.first_clock_ms + super().clock_ms()


async def main():
    listen, clock_ms, address, store, name, service, cpu, mem, kind, record = sys.argv[1:]
    runner = Runner(address, store, name, service, int(cpu), int(mem), kind, record)
    runner.first_clock_ms = int(clock_ms)
    host, port = listen.rsplit(":", 1)
    server = await http1.serve(host, int(port), runner.handle)
    runner.log("up", born=runner.born, clock_ms=runner.clock_ms())
    await asyncio.gather(server.serve_forever(), runner.work(), runner.register(),
                         runner.watch_gangs())


if __name__ == "__main__":
    asyncio.run(main())
