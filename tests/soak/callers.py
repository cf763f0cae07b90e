"""Simulated callers that send statements over sessions with the instances during a soak."""

import dataclasses
import itertools
import random
import threading
import time
from typing import Optional

from history import Statement, Unanswered
from platform_fixtures import Session
from texts import item_of, texts_of

DATABASES = ("newest", "bounded", "own")
PAUSE_S = 0.03  # average pause between the operations of a session
OPERATIONS_PER_CALLER = 10**6  # makes operation numbers unique over all callers
RETRY_PAUSE_S = 0.1
PROBE_NUMBERS = itertools.count(1)
MAX_BURST = 4  # requests in one piece


@dataclasses.dataclass(frozen=True)
class Request:
    """A statement that a caller sends to a backend server."""

    id: str
    text: str
    operation: int
    in_transaction: bool
    shape: Optional[str]
    started: float


class Caller(threading.Thread):
    """One caller. It writes only the item with its own number, with a sequence number that grows
    with each write, and reads the items of all callers."""

    _numbers = threading.Lock()
    _last_request = 0
    _last_session = 0

    def __init__(self, site, account, number, callers, seed, pause_s=PAUSE_S):
        super().__init__(daemon=True)
        self.pause_s = pause_s
        self.site = site
        self.history = site.history
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.texts = texts_of(seed, number)
        self.items = [item_of(seed, caller) for caller in range(callers)]
        self.account = account
        self.writes = 0
        self.operation = 0
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.is_set():
            try:
                self.use_session()
            except (OSError, ConnectionError, ValueError):
                self.stopped.wait(RETRY_PAUSE_S)

    def use_session(self):
        instance = self.random.choice(self.site.instances)
        self.instance = instance.name
        key = self.site.platform.keys[self.account][0]
        self.database = self.random.choice(DATABASES)
        session = Session(instance.callers, self.database, key)
        try:
            if not session.greeting.startswith("READY"):
                self.stopped.wait(RETRY_PAUSE_S)
                return
            with self._numbers:
                Caller._last_session += 1
                self.session_number = Caller._last_session
            self.history.keys[self.session_number] = key
            self.values, self.shape = {}, None
            for _ in range(self.random.randint(5, 200)):
                if self.stopped.is_set() or not self.run_operation(session):
                    return
                time.sleep(self.random.uniform(0, 2 * self.pause_s))
        finally:
            session.close()

    def run_operation(self, session):
        """Runs one random operation; returns whether the session can be used for another."""
        self.operation += 1
        choice = self.random.random()
        if self.texts.wants_burst():
            return self.burst(session)
        if choice < 0.1:
            return self.set_value(session)
        if choice < 0.2:
            return self.transaction(session)
        if choice < 0.4:
            return self.is_usable(self.send(session, self.next_write()))
        if choice < 0.5:
            return self.execute(session)
        return self.is_usable(self.send(session, self.next_read()))

    @staticmethod
    def is_usable(answer):
        return answer.state == "I" and answer.error != "DENIED"

    def next_read(self):
        return f"READ {self.random.choice(self.items)}"

    def next_data(self):
        self.writes += 1
        return f"w{self.number}-{self.writes}{self.texts.suffix()}"

    def next_write(self):
        return f"WRITE {self.items[self.number]} {self.next_data()}"

    def set_value(self, session):
        name = f"v{self.random.randrange(2)}{self.texts.word_suffix()}"
        value = f"{self.random.randrange(3)}{self.texts.suffix()}"
        if self.run_at_instance(session, f"SET {name} {value}").error is not None:
            return False
        self.values[name] = value
        return True

    def execute(self, session):
        """Prepares and executes a read, or a write if the texts have every byte."""
        name = f"s1{self.texts.word_suffix()}"
        shape = f"q{self.random.randrange(3)}{self.texts.suffix()}"
        writes = self.texts.word_suffix() and self.random.random() < 0.5
        verb = "WRITE" if writes else "READ"
        if self.run_at_instance(session, f"PREPARE {name} {verb} {shape}").error is not None:
            return False
        self.shape = shape
        fields = f"{self.items[self.number]} {self.next_data()}" if writes else self.items[0]
        return self.is_usable(self.send(session, f"EXECUTE {name} {fields}"))

    def burst(self, session):
        """Sends several requests in one piece."""
        texts = [self.next_read() if self.random.random() < 0.5 else self.next_write()
                 for _ in range(self.random.randint(2, MAX_BURST))]
        return all(self.is_usable(answer) for answer in self.send_together(session, texts))

    def transaction(self, session):
        if self.run_at_instance(session, "BEGIN").state != "T":
            return False
        for _ in range(self.random.randint(1, 3)):
            text = self.next_write() if self.random.random() < 0.5 else f"READ {self.items[0]}"
            if self.send(session, text, True).error is not None:
                return self.run_at_instance(session, "ROLLBACK").state == "I"
            time.sleep(self.random.uniform(0, PAUSE_S))
        if self.random.random() < 0.2:
            return self.run_at_instance(session, "ROLLBACK").state == "I"
        return self.is_usable(self.send(session, "COMMIT", True))

    def run_at_instance(self, session, text):
        """Sends a statement that the instance answers itself."""
        self.require_open(session)
        started = time.monotonic()
        try:
            return session.run(text)
        except (OSError, ValueError):
            self.add_unanswered(session.last_id, text, started)
            raise

    @staticmethod
    def require_open(session):
        """Sends nothing over a session whose end the caller can see."""
        if session.has_ended():
            raise ConnectionError("the instance has ended the session")

    def add_unanswered(self, request, text, started):
        self.history.add_unanswered(
            Unanswered(request, self.instance, text, started, time.monotonic()))

    def send(self, session, text, in_transaction=False):
        return self.send_together(session, [text], in_transaction)[0]

    def send_together(self, session, texts, in_transaction=False):
        """Sends the statements in one piece; returns their answers, up to the first one that ends the
        session."""
        self.require_open(session)
        requests = [self.next_request(text, in_transaction) for text in texts]
        answers = []
        try:
            self.texts.send(session, [f"QUERY {request.id} {request.text}" for request in requests])
            for request in requests:
                answers.append(session.answer())
                self.add_statement(request, answers[-1])
                if answers[-1].error == "DENIED":
                    break
            return answers
        except (OSError, ValueError):
            for request in requests[len(answers):]:
                self.add_unanswered(request.id, request.text, request.started)
            raise
        finally:
            for request in requests[len(answers):]:
                self.add_statement(request, None)

    def next_request(self, text, in_transaction):
        with self._numbers:
            Caller._last_request += 1
            request = f"c{Caller._last_request:x}"
        if not in_transaction:
            self.operation += 1
        operation = self.number * OPERATIONS_PER_CALLER + self.operation
        self.history.expect(request, operation, text)
        shape = self.shape if text.startswith("EXECUTE ") else None
        return Request(request, text, operation, in_transaction, shape, time.monotonic())

    def add_statement(self, request, answer):
        self.history.add_statement(Statement(
            request.id, self.session_number, self.account, self.database, request.text,
            tuple(sorted(self.values.items())), request.shape, request.started, time.monotonic(),
            answer.error if answer else "LOST", tuple(answer.rows) if answer else (),
            answer.signature if answer else None, request.operation, request.in_transaction))


def answers_reads(site, instance):
    """Whether the instance opens a new session and answers a read on it without an error."""
    return answers(site, instance, "READ item0")


def answers_writes(site, instance, number):
    """As answers_reads(), for a write. `number` is another one for each call."""
    return answers(site, instance, f"WRITE probe probe-{number}")


def answers(site, instance, text):
    # Each has an id of its own, as a server's signature depends on the id.
    request = f"probe{next(PROBE_NUMBERS)}"
    try:
        session = Session(instance.callers, "newest", site.platform.keys["kita"][0])
        try:
            site.history.expect(request, None, text)
            session.send(f"QUERY {request} {text}")
            return session.greeting.startswith("READY") and session.answer().error is None
        finally:
            session.close()
    except (OSError, ConnectionError):
        return False
