"""Checks the history of a soak against the documented guarantees. Each check yields a text for each
violation."""

import collections

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

# Errors that guarantee that the statement had no effect.
NO_EFFECT_ERRORS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}


def check_answers(history):
    """A successful answer has the signature of a backend server that ran this request."""
    ran = collections.defaultdict(set)
    for run in history.runs:
        ran[run.request].add(f"signed-{run.server}-{run.request}")
    for statement in history.statements:
        word = statement.text.split(" ")[0]
        served = word in ("READ", "WRITE", "COMMIT", "EXECUTE") and statement.error is None
        if served and statement.signature not in ran[statement.request]:
            yield f"request {statement.request}: success without the signature of its server"


def check_requests(history):
    """Backend servers run only statements that a caller sent, with the same text and account."""
    sent = {statement.request: statement for statement in history.statements}
    for run in history.runs:
        if run.request == "-":
            continue
        statement = sent.get(run.request)
        if statement is None:
            if run.request not in history.pending:
                yield f"request {run.request}: no caller sent it"
            continue
        if run.account != statement.account:
            yield f"request {run.request}: ran for {run.account}, not {statement.account}"
        words = statement.text.split(" ")
        if words[0] == "EXECUTE":
            words = [statement.shape] + words[2:]
        if list(run.words) != words:
            yield f"request {run.request}: ran {' '.join(run.words)}, not {' '.join(words)}"


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
            yield f"write {data}: committed {count} times"
    for statement in history.statements:
        words = statement.text.split(" ")
        if words[0] == "WRITE" and not statement.in_transaction:
            if statement.error in NO_EFFECT_ERRORS and counts[words[2]]:
                yield f"request {statement.request}: committed although answered {statement.error}"
    open_operations = set(history.pending.values())
    for number, operation in transactions(history).items():
        if number in open_operations:
            continue  # The pending request may be the commit of this transaction.
        commit = operation[-1] if operation[-1].text == "COMMIT" else None
        if commit is not None and commit.error not in NO_EFFECT_ERRORS:
            continue
        for statement in operation:
            words = statement.text.split(" ")
            if words[0] == "WRITE" and counts[words[2]]:
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
        words = statement.text.split(" ")
        if words[0] == "WRITE" and not statement.in_transaction and statement.error is None:
            found.append((statement.ended, words[1], words[2], statement.session))
    for operation in operations.values():
        commit = operation[-1]
        if commit.text != "COMMIT" or commit.error is not None:
            continue
        for statement in operation:
            words = statement.text.split(" ")
            if words[0] == "WRITE":
                found.append((commit.ended, words[1], words[2], commit.session))
    return [write for write in found if write[2] not in history.rolled_back]


def check_lost_writes(history):
    """Every acknowledged write is in the primary's log, unless a promotion rolled it back."""
    kept = {entry.data for entry in history.committed}
    for _, _, data, _ in acknowledged_writes(history):
        if data not in kept:
            yield f"write {data}: acknowledged but not in the log"


def check_reads(history):
    """A read returns data no older than MAX_READ_AGE_S. On the database "own" it also returns the
    session's own writes. An item's sequence number grows with each write."""
    by_item = collections.defaultdict(list)
    for at, item, data, session in acknowledged_writes(history):
        by_item[item].append((at, int(data.split("-")[1]), session))
    for statement in history.statements:
        words = statement.text.split(" ")
        if words[0] != "READ" or statement.error is not None or statement.in_transaction:
            continue
        age = MAX_READ_AGE_S[statement.database]
        due = [number for at, number, session in by_item[words[1]]
               if at < statement.started - age - CLOCK_MARGIN_S or
               (statement.database == "own" and session == statement.session and
                at < statement.started)]
        row = statement.rows[0] if statement.rows else "None"
        seen = int(row.split("-")[1]) if row != "None" else 0
        if due and seen < max(due):
            yield (f"request {statement.request}: read {row}, but write number {max(due)} "
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


def check_rates(history, rate, burst):
    """No account exceeds its rate limit, summed over all instances. A transaction counts once."""
    operations = {statement.request: statement.operation for statement in history.statements}
    first = {}
    for run in history.runs:
        operation = operations.get(run.request)
        if operation is not None:
            first.setdefault((run.account, operation), run.at)
    limit = (rate * RATE_WINDOW_S + burst) * (1 + RATE_TOLERANCE) + RATE_TOLERANCE_OPERATIONS
    by_account = collections.defaultdict(list)
    for (account, _), at in first.items():
        by_account[account].append(at)
    for account, times in by_account.items():
        times.sort()
        start = 0
        for end, at in enumerate(times):
            while times[start] < at - RATE_WINDOW_S:
                start += 1
            if end - start + 1 > limit:
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
                   f"{lost.ended - lost.started:.2f} s, {state}: {lost.text}")


def judge(history, rate, burst):
    checks = [check_answers, check_requests, check_sessions, check_writes, check_lost_writes,
              check_reads, check_fencing_tokens, check_keys, check_evacuations, check_recovery,
              check_stops, check_own_ends, check_unanswered_requests]
    findings = [finding for check in checks for finding in check(history)]
    return findings + list(check_rates(history, rate, burst))
