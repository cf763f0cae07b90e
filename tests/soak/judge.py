"""Checks the history of a soak against the documented guarantees. Each check yields a text for each
violation."""

import collections
import dataclasses
import re

from history import Statement

# Upper limits stated in the users' documentation.
KEY_WITHDRAWAL_LIMIT_S = 5.0
EVACUATION_LIMIT_S = 5.0
RATE_WINDOW_S = 5.0
RATE_TOLERANCE = 0.1  # share of rate and burst
RATE_TOLERANCE_OPERATIONS = 20
# A read may miss writes that are younger than this, by database. The platform stand-in configures
# the same ages.
MAX_READ_AGE_S = {"newest": 0.0, "bounded": 1.5, "own": 2.5}
# A connection may end this long after a request was sent that crossed its close and did not run.
LOST_LIMIT_S = 0.2
# Allows for the delay between the arrival of an answer and the time the caller records for it.
CLOCK_MARGIN_S = 0.05

# Longer texts are cut in findings.
MAX_SHOWN = 120

# Errors that guarantee that the statement had no effect.
NO_EFFECT_ERRORS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """The limit of an account over all instances."""

    rate: int  # operations per second
    burst: int  # operations


def shown(text):
    """A text of arbitrary bytes in a finding."""
    return repr(text) if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]!r}... ({len(text)} bytes)"


def sequence_number(data):
    """The sequence number of a write, with which its data begins; None if it has none."""
    found = re.match(r"w\d*-(\d+)", data)
    return int(found[1]) if found else None


def check_answers(history):
    """A successful answer has the signature of a backend server that ran this request."""
    ran = collections.defaultdict(set)
    for run in history.runs:
        ran[run.request].add(f"signed-{run.server}-{run.request}")
    for statement in history.statements:
        served = statement.verb in ("READ", "WRITE", "COMMIT", "EXECUTE") and not statement.error
        if served and statement.signature not in ran[statement.request]:
            yield (f"request {statement.request}: success without the signature of its server: "
                   f"{shown(str(statement.signature))}")


def check_rows(history):
    """A successful answer has the rows that the server with its signature has sent for it, and a read
    returns the whole data of a write of its item."""
    written = collections.defaultdict(set)
    for statement in history.statements + pending_statements(history):
        if statement.data is not None:
            written[statement.item].add(statement.data)
    for statement in history.statements:
        if statement.error is not None or statement.signature is None:
            continue
        rows = " ".join(shown(row) for row in statement.rows)
        if (statement.signature, statement.rows) not in history.answers:
            yield f"request {statement.request}: rows that its server has not sent: {rows}"
        known = written[statement.item] | {"None"} if statement.reads else set()
        if not known.issuperset(statement.rows):
            yield f"request {statement.request}: rows that nobody has written: {rows}"


def pending_statements(history):
    return [Statement(request, 0, "", "", text, (), "", 0.0, 0.0, "LOST")
            for request, (_, text) in history.pending.items()]


def check_requests(history):
    """Backend servers run only statements that a caller sent, with the same text and account."""
    sent = {statement.request: statement for statement in history.statements}
    for run in history.runs:
        if run.request == "-":
            continue
        statement = sent.get(run.request)
        if statement is None:
            if run.request not in history.pending:
                yield f"request {run.request}: no caller sent it: {shown(' '.join(run.words))}"
            continue
        if run.account != statement.account:
            yield f"request {run.request}: ran for {run.account}, not {statement.account}"
        if run.words != statement.words:
            yield (f"request {run.request}: ran {shown(' '.join(run.words))}, not "
                   f"{shown(' '.join(statement.words))}")


def check_sessions(history):
    """A statement runs with its session's SET values, and inside its transaction if it has one."""
    sent = {statement.request: statement for statement in history.statements}
    for run in history.runs:
        statement = sent.get(run.request)
        if statement is None:
            continue
        if run.values != statement.values:
            yield f"request {run.request}: ran with values {run.values}, not {statement.values}"
        if statement.in_transaction and run.state != "T":
            yield f"request {run.request}: ran outside its transaction"


def check_writes(history):
    """No write takes effect twice, or at all if its error guarantees that it had no effect or its
    transaction was not committed."""
    counts = collections.Counter(entry.data for entry in history.committed)
    for data, count in counts.items():
        if count > 1:
            yield f"write {shown(data)}: committed {count} times"
    for statement in history.statements:
        if statement.data is not None and not statement.in_transaction:
            if statement.error in NO_EFFECT_ERRORS and counts[statement.data]:
                yield f"request {statement.request}: committed although answered {statement.error}"
    open_operations = {operation for operation, _ in history.pending.values()}
    for number, operation in transactions(history).items():
        if number in open_operations:
            continue  # The pending request may be the commit of this transaction.
        commit = operation[-1] if operation[-1].text == "COMMIT" else None
        if commit is not None and commit.error not in NO_EFFECT_ERRORS:
            continue
        for statement in operation:
            if statement.data is not None and counts[statement.data]:
                yield f"request {statement.request}: committed although its transaction was not"


def transactions(history):
    """The statements of each transaction, by operation number."""
    operations = collections.defaultdict(list)
    for statement in history.statements:
        if statement.in_transaction:
            operations[statement.operation].append(statement)
    return operations


def acknowledged_writes(history):
    """(time of the answer, item, data, session) of each acknowledged write that no promotion rolled
    back."""
    found = []
    operations = transactions(history)
    for statement in history.statements:
        if statement.data is not None and not statement.in_transaction and statement.error is None:
            found.append((statement.ended, statement.item, statement.data, statement.session))
    for operation in operations.values():
        commit = operation[-1]
        if commit.text != "COMMIT" or commit.error is not None:
            continue
        for statement in operation:
            if statement.data is not None:
                found.append((commit.ended, statement.item, statement.data, commit.session))
    return [write for write in found if write[2] not in history.rolled_back]


def check_lost_writes(history):
    """Every acknowledged write is in the primary's log, unless a promotion rolled it back."""
    kept = {entry.data for entry in history.committed}
    for _, _, data, _ in acknowledged_writes(history):
        if data not in kept:
            yield f"write {shown(data)}: acknowledged but not in the log"


def check_reads(history):
    """A read returns data no older than MAX_READ_AGE_S. On the database "own" it also returns the
    session's own writes. An item's sequence number grows with each write."""
    by_item = collections.defaultdict(list)
    for at, item, data, session in acknowledged_writes(history):
        by_item[item].append((at, sequence_number(data), session))
    for statement in history.statements:
        if not statement.reads or statement.error is not None or statement.in_transaction:
            continue
        age = MAX_READ_AGE_S[statement.database]
        due = [number for at, number, session in by_item[statement.item]
               if at < statement.started - age - CLOCK_MARGIN_S or
               (statement.database == "own" and session == statement.session and
                at < statement.started)]
        row = statement.rows[0] if statement.rows else "None"
        seen = sequence_number(row) or 0
        if due and seen < max(due):
            yield (f"request {statement.request}: read {shown(row)}, but write number {max(due)} "
                   "had to be visible")


def check_fencing_tokens(history):
    """The fencing tokens of accepted promotion orders strictly increase."""
    for before, after in zip(history.fences, history.fences[1:]):
        if after <= before:
            yield f"fencing token {after} accepted after {before}"


def check_keys(history):
    """No statement runs with a key later than KEY_WITHDRAWAL_LIMIT_S after its withdrawal."""
    sessions = {statement.request: statement.session for statement in history.statements}
    for at, key, _ in history.withdrawn:
        for run in history.runs:
            session = sessions.get(run.request)
            if run.at > at + KEY_WITHDRAWAL_LIMIT_S and history.keys.get(session) == key:
                yield f"request {run.request}: ran {run.at - at:.1f} s after its key was withdrawn"


def check_evacuations(history):
    """An evacuated zone gets no statements later than EVACUATION_LIMIT_S after the evacuation
    was accepted."""
    for accepted, ended, zone in history.evacuations:
        for run in history.runs:
            if run.zone == zone and accepted + EVACUATION_LIMIT_S < run.at < ended:
                yield f"request {run.request}: ran in the evacuated zone {zone}"


def check_rates(history, limits):
    """No account exceeds its rate limit, summed over all instances. A transaction counts once."""
    operations = {statement.request: statement.operation for statement in history.statements}
    first = {}
    for run in history.runs:
        operation = operations.get(run.request)
        if operation is not None:
            first.setdefault((run.account, operation), run.at)
    by_account = collections.defaultdict(list)
    for (account, _), at in first.items():
        by_account[account].append(at)
    for account, limit in limits.items():
        allowed = limit.rate * RATE_WINDOW_S + limit.burst
        most = allowed * (1 + RATE_TOLERANCE) + RATE_TOLERANCE_OPERATIONS
        times = sorted(by_account[account])
        start = 0
        for end, at in enumerate(times):
            while times[start] < at - RATE_WINDOW_S:
                start += 1
            if end - start + 1 > most:
                yield f"account {account}: {end - start + 1} operations in {RATE_WINDOW_S} s"
                break


def check_recovery(history):
    """Every instance answers reads and writes again after the faults have ended."""
    for instance, served in history.recovered.items():
        if not served:
            yield f"instance {instance}: answers no read or no write after the faults have ended"


def check_stops(history):
    """A planned stop ends within its grace period, with exit status 0."""
    for instance, _, status in history.planned_stops:
        if status != 0:
            yield f"instance {instance}: planned stop ended with exit status {status}"


def check_own_ends(history):
    """No process ends without an order."""
    for instance, status in history.own_ends:
        yield f"instance {instance}: ended by itself with status {status}"


def check_unanswered_requests(history):
    """Every request is answered in full, unless its instance was killed meanwhile, or it crossed the
    close of an idle session and did not run."""
    ran = {run.request for run in history.runs}
    for lost in history.unanswered:
        killed = any(instance == lost.instance and
                     lost.started - CLOCK_MARGIN_S <= at <= lost.ended + CLOCK_MARGIN_S
                     for instance, at in history.kills)
        crossed = lost.request not in ran and lost.ended - lost.started <= LOST_LIMIT_S
        if not killed and not crossed:
            state = "ran" if lost.request in ran else "did not run"
            yield (f"request {lost.request}: no whole answer from {lost.instance} within "
                   f"{lost.ended - lost.started:.2f} s, {state}: {shown(lost.text)}")


def judge(history, limits):
    """`limits` are the RateLimits by account."""
    checks = [check_answers, check_rows, check_requests, check_sessions, check_writes, check_lost_writes,
              check_reads, check_fencing_tokens, check_keys, check_evacuations, check_recovery,
              check_stops, check_own_ends, check_unanswered_requests]
    findings = [finding for check in checks for finding in check(history)]
    return findings + list(check_rates(history, limits))
