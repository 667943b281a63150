"""Stand-in for the advice service. Usage: advice.py HOST:PORT DECIDE_MS EACH_MS VALID_MS

It admits all workers. A ticket names the step, the worker and the end of its validity. All hosts of
a test have the same source address, so that calls are not queued by calling machine.
"""

import asyncio
import sys
import time

import http1


class Advice:
    def __init__(self, decide_ms, each_ms, valid_ms):
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms

    async def handle(self, method, path, query, headers, body):
        workers = body["workers"][:100]
        await asyncio.sleep((self.decide_ms + self.each_ms * len(workers)) / 1000)
        until_ms = int(time.time() * 1000 + self.valid_ms)
        rows = [[worker, f"{body['step']}/{worker}/{until_ms}"] for worker in workers]
        return 200, {"admitted": rows, "valid-ms": int(self.valid_ms)}


async def main():
    address, decide_ms, each_ms, valid_ms = sys.argv[1:]
    host, port = address.rsplit(":", 1)
    advice = Advice(float(decide_ms), float(each_ms), float(valid_ms))
    server = await http1.serve(host, int(port), advice.handle)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
