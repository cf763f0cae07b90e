"""What the callers and the servers of a soak saw, in the order of one clock."""

import dataclasses
import threading
import time
from typing import Optional


@dataclasses.dataclass(frozen=True)
class Statement:
    """One statement of a caller, with its answer."""

    request: str
    session: int
    account: str
    database: str
    text: str
    values: tuple  # the session's acknowledged values, as (name, value)
    shape: Optional[str]  # what an EXECUTE has to run
    started: float
    ended: float
    error: Optional[str]  # "LOST" when the connection ended without an answer
    rows: tuple = ()
    signature: Optional[str] = None
    operation: int = 0  # statements of one transaction have the same number
    in_transaction: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """One statement that a server ran."""

    at: float
    server: str
    zone: str
    request: str
    account: str
    words: tuple
    state: str
    values: tuple


@dataclasses.dataclass(frozen=True)
class Entry:
    """One committed write, or one that a promotion rolled back."""

    item: str
    data: str


class StampedRuns(list):
    """The list that a server appends its runs to; keeps each with its time."""

    def __init__(self, history, server):
        super().__init__()
        self.history = history
        self.server = server

    def append(self, run):
        request, account, words, state, values = run
        self.history.add_run(Run(time.monotonic(), self.server.id, self.server.zone, request,
                                 account, tuple(words), state, tuple(sorted(values.items()))))


class History:
    """Thread-safe while a soak runs; read by the judge afterwards."""

    def __init__(self):
        self._lock = threading.Lock()
        self.statements = []
        self.runs = []
        self.rolled_back = set()  # data of entries that a promotion cut off
        self.committed = []  # the final log
        self.fences = []
        self.withdrawn = []  # (time, key, account)
        self.evacuations = []  # (time of acceptance, time of its end, zone)
        self.keys = {}  # session to key
        self.pending = {}  # requests that callers wait for, with their operations
        self.recovered = {}  # instance to whether it served after the faults
        self.planned_stops = []  # (instance, time of the signal, exit status or None)

    def add_statement(self, statement):
        with self._lock:
            self.statements.append(statement)
            self.pending.pop(statement.request, None)

    def expect(self, request, operation):
        """A caller sends the request now."""
        with self._lock:
            self.pending[request] = operation

    def snapshot(self, log):
        """A copy for the judge; `log` gives the entries of the present primary."""
        with self._lock:
            copy = History()
            copy.runs = list(self.runs)
            copy.statements = list(self.statements)
            copy.pending = dict(self.pending)
            for name in ("fences", "withdrawn", "evacuations", "planned_stops"):
                setattr(copy, name, list(getattr(self, name)))
            copy.keys, copy.recovered = dict(self.keys), dict(self.recovered)
        # Taken after the statements, so that it holds all that they were told.
        copy.committed = log()
        copy.rolled_back = set(self.rolled_back)
        return copy

    def add_run(self, run):
        with self._lock:
            self.runs.append(run)
