"""Record of what the callers sent and the backend servers ran during a soak. All times are of the
same monotonic clock."""

import dataclasses
import os
import sys
import threading
import time
from typing import Optional

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))

from users_platform.backend import split_statement


@dataclasses.dataclass(frozen=True)
class Statement:
    """One statement that a caller sent, with its answer."""

    request: str
    session: int
    account: str
    database: str
    text: str
    values: tuple  # (name, value) of each SET that the session's instance acknowledged
    shape: Optional[str]  # for EXECUTE: the name of the prepared query, such as "q1"
    started: float
    ended: float
    error: Optional[str]  # error code; "LOST" when the connection closed before the answer
    rows: tuple = ()
    signature: Optional[str] = None
    operation: int = 0  # number of the caller's operation; a transaction is one operation
    in_transaction: bool = False

    @property
    def words(self):
        """The fields of the text as a server records them: for EXECUTE, the prepared query's name in
        place of the verb and the name of the prepared statement."""
        words = split_statement(self.text)
        return tuple([self.shape] + words[2:] if words[0] == "EXECUTE" else words)

    @property
    def verb(self):
        return self.text.partition(" ")[0]

    @property
    def item(self):
        """The item that it reads or writes."""
        return self.words[1]

    @property
    def data(self):
        """The data that it writes; None unless it is a write."""
        writes = self.verb in ("WRITE", "EXECUTE") and len(self.words) == 3
        return self.words[2] if writes else None

    @property
    def reads(self):
        return self.verb == "READ" or (self.verb == "EXECUTE" and self.data is None)


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """A request whose connection ended before its whole answer had arrived."""

    request: str
    instance: str
    text: str
    started: float
    ended: float


@dataclasses.dataclass(frozen=True)
class Run:
    """One statement that a backend server ran."""

    at: float
    server: str
    zone: str
    request: str
    account: str
    words: tuple
    state: str  # "T" inside a transaction, "E" after an error in it, otherwise "I"
    values: tuple  # (name, value) of each SET in force on the backend connection


@dataclasses.dataclass(frozen=True)
class Entry:
    """One committed write in the primary's log."""

    item: str
    data: str  # "w", the caller's number, "-", the sequence number of the write, and any text


class TimestampedRuns(list):
    """Replaces the `ran` list of a backend server: adds each appended run to the history, with its
    time."""

    def __init__(self, history, server):
        super().__init__()
        self.history = history
        self.server = server

    def append(self, run):
        request, account, words, state, values = run
        self.history.add_run(Run(time.monotonic(), self.server.id, self.server.zone, request,
                                 account, tuple(words), state, tuple(sorted(values.items()))))


class RecordedAnswers(list):
    """Replaces the `answered` list of a backend server: adds each answer's rows to the history."""

    def __init__(self, history, server):
        super().__init__()
        self.history = history
        self.server = server

    def append(self, answer):
        request, rows = answer
        self.history.add_answer(self.server.id, request, tuple(rows))


class History:
    """Collects the records of the caller and server threads. The judge reads a snapshot()."""

    def __init__(self):
        self._lock = threading.Lock()
        self.statements = []
        self.runs = []
        self.answers = set()  # (signature, rows) of each success that a server has sent
        self.rolled_back = set()  # data of log entries that a promotion may remove and has removed
        self.committed = []  # entries of the primary's log at the time of the snapshot
        self.fences = []  # fencing tokens of the accepted promotion orders
        self.withdrawn = []  # (time, key, account)
        self.evacuations = []  # (time stored, time ended, zone)
        self.keys = {}  # by session number: its key
        self.pending = {}  # by request without an answer so far: (its operation, its text)
        self.recovered = {}  # by instance: whether it answered reads after the faults ended
        self.planned_stops = []  # (instance, time of the signal, exit status or None)
        self.kills = []  # (instance, time) of each SIGKILL that the soak has sent
        self.own_ends = []  # (instance, exit status) of each process that ended without an order
        self.unanswered = []

    def add_statement(self, statement):
        with self._lock:
            self.statements.append(statement)
            self.pending.pop(statement.request, None)

    def add_unanswered(self, unanswered):
        with self._lock:
            self.unanswered.append(unanswered)

    def expect(self, request, operation, text):
        """Records the request as pending. To be called before it is sent."""
        with self._lock:
            self.pending[request] = (operation, text)

    def snapshot(self, log):
        """A copy for the judge; `log` returns the entries of the current primary's log."""
        with self._lock:
            copy = History()
            copy.runs = list(self.runs)
            copy.statements = list(self.statements)
            copy.pending = dict(self.pending)
            copy.answers = set(self.answers)
            for name in ("fences", "withdrawn", "evacuations", "planned_stops", "kills",
                         "own_ends", "unanswered"):
                setattr(copy, name, list(getattr(self, name)))
            copy.keys, copy.recovered = dict(self.keys), dict(self.recovered)
        # The log is read after the statements are copied, so that it contains every write that the
        # copied statements report as acknowledged.
        copy.committed = log()
        copy.rolled_back = set(self.rolled_back)
        return copy

    def add_answer(self, server, request, rows):
        with self._lock:
            self.answers.add((f"signed-{server}-{request}", rows))

    def add_run(self, run):
        with self._lock:
            self.runs.append(run)
