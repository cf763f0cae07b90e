"""A minimal HTTP/1.1 server for JSON requests and answers."""

import asyncio
import json
import random
from urllib.parse import parse_qsl, urlsplit


class RawJson:
    """Text of a JSON value that is sent as it is, valid or not."""

    def __init__(self, text):
        self.text = text


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Busy"}


class ReplyRepeats:
    """Which replies of an interface are sent a second time, on the same connection: the next
    `repeated_replies`, and of the others the share `repeat_share`. The second time follows at once,
    or `repeat_delay_s` after the first."""

    def __init__(self):
        self.repeated_replies = 0
        self.repeat_share = 0.0
        self.repeat_delay_s = 0.0
        self.repeats_sent = 0

    def take(self):
        """Whether the reply that is sent now is repeated."""
        if self.repeated_replies > 0:
            self.repeated_replies -= 1
            return True
        return random.random() < self.repeat_share

    def schedule(self, writer, reply):
        """Sends the reply again after the delay, unless the connection has been closed."""

        def send():
            if not writer.transport.is_closing():
                self.repeats_sent += 1
                writer.write(reply)

        asyncio.get_running_loop().call_later(self.repeat_delay_s, send)


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


async def serve_http(reader, writer, handle, repeats=None):
    """Serves the requests of one connection. `handle(method, path, query, headers, body)` returns
    (status, body) or (status, body, headers). When it returns None, the request is not answered and
    the connection is closed, as if the answer were lost. `repeats` is the ReplyRepeats of the
    interface."""
    repeats = repeats or ReplyRepeats()
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
            reply = (
                f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{headers}"
                f"Content-Length: {len(text)}\r\n\r\n".encode() + text
            )
            repeated = repeats.take()
            if repeated and repeats.repeat_delay_s == 0:
                repeats.repeats_sent += 1
                reply += reply
            writer.write(reply)
            if repeated and repeats.repeat_delay_s > 0:
                repeats.schedule(writer, reply)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()
