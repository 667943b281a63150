"""Stand-in for the platform's metadata store. Usage: store.py HOST:PORT"""

import asyncio
import base64
import sys
import time

import http1

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.revision = 0
        self.items = {}
        self.leases = {}
        self.next_lease = 100
        self.history = []
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease, (ttl_s, ends) in list(self.leases.items()):
            if ends <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.record({"key": key, "revision": self.revision, "deleted": True})

    def put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created-at"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created-at": created,
                "lease": lease or 0}
        self.items[key] = item
        self.record(item)

    async def expire_forever(self):
        while True:
            self.expire()
            await asyncio.sleep(0.01)

    async def handle(self, method, path, query, headers, body):
        self.expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            return 200, self.range(query["prefix"], query.get("after"))
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]))
        if path == "/kv-txn":
            return self.txn(body, "x-platform" in headers)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl_ms = max(1000, body["ttl-ms"])
            self.leases[self.next_lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl-ms": int(ttl_s * 1000)}
        self.end_lease(lease)
        return 200, {}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix))
        if after is not None:
            keys = [key for key in keys if key > after]
        return {"items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has-more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def watch(self, prefix, after, wait_ms):
        ends = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body, is_platform):
        expected, puts, deletes = (body.get(name) or [] for name in ("expected", "puts", "deletes"))
        written = [put["key"] for put in puts] + deletes
        if not is_platform and any(key.startswith(("op/", "servers/")) for key in written):
            return 403, {}
        if len(expected) + len(puts) + len(deletes) > 32:
            return 400, {}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        current = lambda key: self.items.get(key, {"key": key, "revision": 0})
        if any(current(row["key"])["revision"] != row["revision"] for row in expected):
            return 412, {"items": [current(row["key"]) for row in expected]}
        for put in puts:
            base64.b64decode(put["value"], validate=True)
            self.put(put["key"], put["value"], put.get("lease"))
        for key in deletes:
            self.delete(key)
        return 200, {"revision": self.revision}


async def main():
    host, port = sys.argv[1].rsplit(":", 1)
    store = Store()
    server = await http1.serve(host, int(port), store.handle)
    expiring = asyncio.create_task(store.expire_forever())
    await asyncio.gather(server.serve_forever(), expiring)


if __name__ == "__main__":
    asyncio.run(main())
