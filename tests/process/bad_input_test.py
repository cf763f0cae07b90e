"""Invalid requests, which an instance must refuse without sending them to a backend server."""

import socket
import unittest

from fixtures import KEY, SiteTest
from oriole_site.http import get_row, put_row
from oriole_site.processes import LOOPBACK

HEADER_LIMIT = 8 * 1024
BODY_LIMIT = 256 * 1024


class BadInputTest(SiteTest):
    """Guards against an instance that, on an invalid request, crashes, forwards the request to a
    backend server or answers with an outcome other than "not-run"."""

    options = {"instances": 1}

    def send_raw(self, data):
        port = self.site.instances[0].caller_port
        with socket.create_connection((LOOPBACK, port), timeout=20) as connection:
            connection.sendall(data)
            answer = b""
            while chunk := connection.recv(65536):
                answer += chunk
        return answer.decode("latin-1")

    def request(self, line, body=b"", headers=()):
        fields = [f"Authorization: Bearer {KEY}", f"Content-Length: {len(body)}", "Connection: close"]
        fields += headers
        return (line + " HTTP/1.1\r\n" + "\r\n".join(fields) + "\r\n\r\n").encode() + body

    def assert_refused(self, answer, status):
        self.assertTrue(answer.startswith(f"HTTP/1.1 {status} "), answer[:200])
        self.assertIn("Oriole-Outcome: not-run", answer)
        self.assertIn('"reason":', answer)

    def test_not_http_is_refused(self):
        self.assert_refused(self.send_raw(b"\x00\x01\x02 nonsense\r\n\r\n"), 400)

    def test_oversize_body_is_refused(self):
        body = b"x" * (BODY_LIMIT + 1)
        line = "POST /v1/services/db-1-write"
        # The instance may answer and close before it has read the whole body, so only the header
        # and the first 1024 bytes of the body are sent.
        head = self.request(line, body)[: -len(body) + 1024]
        self.assert_refused(self.send_raw(head), 413)

    def test_long_header_is_refused(self):
        answer = self.send_raw(
            self.request("POST /v1/services/db-1-write", headers=["X: " + "y" * HEADER_LIMIT])
        )
        self.assert_refused(answer, 431)

    def test_invalid_bodies_are_refused(self):
        bodies = [
            b"", b"{", b"[]", b"{}", b'{"statements":{}}', b'{"statements":[]}',
            b'{"statements":[1]}', b'{"statements":[{"op":"drop","row":"r"}]}',
            b'{"statements":[{"op":"get"}]}', b'{"statements":[{"op":"get","row":7}]}',
            b'{"statements":[{"op":"put","row":"r"}]}',
            b'{"statements":[{"op":"add","row":"r","amount":1.5}]}',
            b'{"statements":[{"op":"get","row":"r","extra":1}]}',
            b'{"statements":[{"op":"get","row":"r"}],"extra":1}',
            b'{"statements":[{"op":"get","row":"\xff"}]}',
            b'{"statements":' + b"[" * 5000,
        ]
        for body in bodies:
            with self.subTest(body=body[:60]):
                answer = self.send_raw(self.request("POST /v1/services/db-1-write", body))
                self.assert_refused(answer, 400)

    def test_unknown_paths_are_refused(self):
        for path in ["/", "/v1/services/", "/v1/services/no-such", "/v1/transactions/none", "/v2/x"]:
            with self.subTest(path=path):
                body = b'{"statements":[{"op":"get","row":"r"}]}'
                self.assert_refused(self.send_raw(self.request(f"POST {path}", body)), 404)

    def test_unsupported_method_is_refused(self):
        for method in ["GET", "PUT", "DELETE", "BREW"]:
            with self.subTest(method=method):
                answer = self.send_raw(self.request(f"{method} /v1/services/db-1-write"))
                self.assert_refused(answer, 405)

    def test_write_through_read_service_is_refused(self):
        answer = self.caller().run(self.service("read"), put_row("r", "v"))
        self.assert_answer(answer, 400, "not-run")

    def test_reserved_row_is_refused(self):
        answer = self.caller().run(self.service("write"), put_row("oriole.cancelled", "v"))
        self.assert_answer(answer, 400, "not-run")

    def test_bad_session_token_is_refused(self):
        caller = self.caller(session="1;db-1:x.y")
        self.assert_answer(caller.run(self.service("read"), get_row("r")), 400, "not-run")

    def test_service_works_after_bad_input(self):
        self.send_raw(b"\x00" * 100_000)
        self.write(self.caller(), "after", "all")


if __name__ == "__main__":
    unittest.main()
