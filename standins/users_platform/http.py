"""A minimal HTTP/1.1 server for JSON requests and answers."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


class RawJson:
    """Text of a JSON value that is sent as it is, valid or not."""

    def __init__(self, text):
        self.text = text


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Busy"}


async def read_request(reader):
    """Reads one request. Returns (method, path, query, headers, body), or None when the connection
    has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = json.loads(await reader.readexactly(size)) if size else None
    parts = urlsplit(target)
    return method, parts.path, dict(parse_qsl(parts.query)), headers, body


def encode_json(body):
    raw_texts = []

    def placeholder(raw):
        raw_texts.append(raw.text)
        return f"raw-json-{len(raw_texts)}"

    text = json.dumps(body, default=placeholder).encode()
    for number, raw_text in enumerate(raw_texts, start=1):
        text = text.replace(f'"raw-json-{number}"'.encode(), raw_text)
    return text


async def serve_http(reader, writer, handle):
    """Serves the requests of one connection. `handle(method, path, query, headers, body)` returns
    (status, body) or (status, body, headers). When it returns None, the request is not answered and
    the connection is closed, as if the answer were lost."""
    try:
        while request := await read_request(reader):
            answer = await handle(*request)
            if answer is None:
                break
            status, body, *rest = answer
            added = rest[0] if rest else {}
            headers = "".join(f"{name}: {value}\r\n" for name, value in added.items())
            text = encode_json(body)
            reason = REASONS.get(status, "Status")
            writer.write(
                f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{headers}"
                f"Content-Length: {len(text)}\r\n\r\n".encode() + text
            )
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()
