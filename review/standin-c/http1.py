"""A small HTTP/1.1 server and client on asyncio, with JSON bodies. Standard library only."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


async def read_message(reader):
    """Reads one request or response; returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Drop(Exception):
    """Raised by a handler that leaves its request unanswered for good."""


async def serve(host, port, handler):
    """Serves `handler(method, path, query, headers, body) -> (status, object)`."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                parsed = json.loads(body) if body else {}
                try:
                    status, answer = await handler(method, url.path, query, headers, parsed)
                except Drop:
                    # A connection on which an answer is lost returns nothing further.
                    await reader.read()
                    break
                text = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 22, backlog=512)


async def call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Makes one call on a connection of its own; returns (status, text of the body)."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(text)}\r\n"
            if text:
                head += "Content-Type: application/json\r\n"
            named = {"Host": address, "Connection": "close", **(headers or {})}
            head += "".join(f"{name}: {value}\r\n" for name, value in named.items())
            writer.write(head.encode() + b"\r\n" + text)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("closed without an answer")
            first, _, answer = message
            return int(first.split(" ")[1]), answer.decode()
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
