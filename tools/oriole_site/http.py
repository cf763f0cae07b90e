"""HTTP clients: callers of an instance, and requests to admin and platform addresses."""

import http.client
import json
import time

from .processes import LOOPBACK

REQUEST_TIMEOUT_S = 20.0


class Answer:
    """An instance's answer to a caller's request."""

    def __init__(self, status, headers, body, closes=False):
        self.status = status
        self.closes = closes  # whether the instance closes the connection after this answer
        self.outcome = headers.get("Oriole-Outcome")
        self.session = headers.get("Oriole-Session")
        self.body = body

    @property
    def reason(self):
        return self.body.get("error", {}).get("reason", "")

    def __str__(self):
        return f"{self.status} {self.outcome} {json.dumps(self.body)}"


class Caller:
    """A caller with a key and a session token, on one keep-alive connection to an instance."""

    def __init__(self, port, key=None, session=None):
        self.port = port
        self.key = key
        self.session = session
        self._connection = None

    def close(self):
        if self._connection:
            self._connection.close()
            self._connection = None

    def run(self, service, *statements, request_id=None):
        return self.post(f"/v1/services/{service}", {"statements": list(statements)}, request_id)

    def post(self, path, body=None, request_id=None):
        return self._call("POST", path, body, request_id)

    def get(self, path):
        return self._call("GET", path, None, None)

    def _call(self, method, path, body, request_id):
        headers = {"Content-Type": "application/json"}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if self.session:
            headers["Oriole-Session"] = self.session
        if request_id:
            headers["Idempotency-Key"] = request_id
        if not self._connection:
            self._connection = http.client.HTTPConnection(
                LOOPBACK, self.port, timeout=REQUEST_TIMEOUT_S
            )
        text = None if body is None else json.dumps(body)
        try:
            self._connection.request(method, path, text, headers)
            response = self._connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException):
            self.close()
            raise
        body = json.loads(content or b"{}")
        answer = Answer(response.status, response.headers, body, response.will_close)
        if answer.session:
            self.session = answer.session
        return answer


def get_row(row):
    return {"op": "get", "row": row}


def put_row(row, value):
    return {"op": "put", "row": row, "value": value}


def fetch_json(port, path, timeout_s=2.0):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def fetch_text(port, path):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=2.0)
    try:
        connection.request("GET", path)
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def put_text(port, path, text, headers):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=5.0)
    try:
        connection.request("PUT", path, text, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


def fetch_status(port, path):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=2.0)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    finally:
        connection.close()


def fetch_metrics(port):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=2.0)
    try:
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().decode().splitlines()
    finally:
        connection.close()
    pairs = (line.rsplit(" ", 1) for line in lines if line)
    return {name: float(value) for name, value in pairs}


def put_json(port, path, value):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=5.0)
    try:
        connection.request("PUT", path, json.dumps(value))
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


class Stopwatch:
    """Measures the time since its creation."""

    def __init__(self):
        self._start = time.monotonic()

    def milliseconds(self):
        return (time.monotonic() - self._start) * 1000.0
