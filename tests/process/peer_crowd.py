"""Clients of a port between instances that know the fleet's secret: the handshake of
src/links/internal/peer_session.cpp, and messages that stop half-way."""

import hashlib
import hmac
import os
import socket

from platform_fixtures import LOOPBACK, WAIT_S

SECRET = b"oriolethread-fleet"
LARGEST_MESSAGE = 3 << 20
HELLO_FRAME = b"\x01\x00\x01"
SEALED_FRAME = b"\x01\x00\x02"
FIRST_CALL = b'{"jsonrpc":"2.0","id":1,"method":"first_call","params":{}}'


def keyed_hash(text, key=b""):
    return hashlib.blake2b(text, key=key, digest_size=32).digest()


def with_mac(frame, key):
    return frame + hmac.new(key, frame, hashlib.sha512).digest()[:32]


def with_length(frame):
    return len(frame).to_bytes(4, "big") + frame


class PeerClient:
    def __init__(self, port):
        self.socket = socket.create_connection((LOOPBACK, port), timeout=WAIT_S)
        secret_key = keyed_hash(b"oriolethread peer secret" + SECRET)
        own = os.urandom(32)
        self.socket.sendall(with_length(with_mac(HELLO_FRAME + own, secret_key)))
        other = self.frame()[len(HELLO_FRAME):][:32]
        self.key = keyed_hash(b"oriolethread caller to server" + own + other, secret_key)
        sealed = with_mac(SEALED_FRAME + (1).to_bytes(8, "big") + FIRST_CALL, self.key)
        self.socket.sendall(with_length(sealed))
        self.frame()

    def bytes(self, size):
        data = b""
        while len(data) < size:
            part = self.socket.recv(size - len(data))
            if not part:
                raise ConnectionError("the instance closed the connection")
            data += part
        return data

    def frame(self):
        return self.bytes(int.from_bytes(self.bytes(4), "big"))


class PeerCrowd:
    def __init__(self, port, size):
        self.members = []
        for _ in range(size):
            try:
                self.members.append(PeerClient(port))
            except OSError:
                continue  # The instance may refuse a member.

    def start_messages(self):
        """Each member announces a message of the maximum length and sends half of it."""
        for member in self.members:
            try:
                member.socket.sendall(LARGEST_MESSAGE.to_bytes(4, "big") + b"x" * (LARGEST_MESSAGE // 2))
            except OSError:
                continue  # The instance may close the connection.

    def close(self):
        for member in self.members:
            member.socket.close()
