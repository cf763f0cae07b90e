"""Checks the promises of the pages on a soak's history. Each check yields findings as text."""

import collections

# Bounds of the users' pages, in seconds.
KEY_BOUND_S = 5.0
EVACUATION_BOUND_S = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
# What a read may miss, by the database; the stand-in's routes have the same ages.
READ_AGE_S = {"newest": 0.0, "bounded": 1.5, "own": 2.5}
# Between the answer's arrival at a caller and the time that the caller notes.
CLOCK_MARGIN_S = 0.05

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}


def check_answers(history):
    """A success has the signature of a server that ran just this request."""
    ran = collections.defaultdict(set)
    for run in history.runs:
        ran[run.request].add(f"signed-{run.server}-{run.request}")
    for statement in history.statements:
        word = statement.text.split(" ")[0]
        served = word in ("READ", "WRITE", "COMMIT", "EXECUTE") and statement.error is None
        if served and statement.signature not in ran[statement.request]:
            yield f"request {statement.request}: success without a server's signature"


def check_requests(history):
    """Servers run only what a caller sent, with its text, under the caller's account."""
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
    """A statement runs with its session's values, and inside its transaction only."""
    sent = {statement.request: statement for statement in history.statements}
    for run in history.runs:
        statement = sent.get(run.request)
        if statement is None:
            continue
        if run.values != statement.values:
            yield f"request {run.request}: ran with values {run.values}, not {statement.values}"
        if statement.in_transaction and run.state != "T":
            yield f"request {run.request}: ran outside of its transaction"


def check_writes(history):
    """No write takes effect twice, and none that was promised not to be kept."""
    counts = collections.Counter(entry.data for entry in history.committed)
    for data, count in counts.items():
        if count > 1:
            yield f"write {data}: committed {count} times"
    for statement in history.statements:
        words = statement.text.split(" ")
        if words[0] == "WRITE" and not statement.in_transaction:
            if statement.error in PROMISES and counts[words[2]]:
                yield f"request {statement.request}: kept after {statement.error}"
    open_operations = set(history.pending.values())
    for number, operation in transactions(history).items():
        if number in open_operations:
            continue  # Its commit is on its way.
        commit = operation[-1] if operation[-1].text == "COMMIT" else None
        if commit is not None and commit.error not in PROMISES:
            continue
        for statement in operation:
            words = statement.text.split(" ")
            if words[0] == "WRITE" and counts[words[2]]:
                yield f"request {statement.request}: kept though its transaction was not"


def transactions(history):
    operations = collections.defaultdict(list)
    for statement in history.statements:
        if statement.in_transaction:
            operations[statement.operation].append(statement)
    return operations


def acknowledged_writes(history):
    """(time of the answer, item, data, session) of what was acknowledged and not rolled back."""
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
    """An acknowledged write is in the log, unless a promotion rolled it back."""
    kept = {entry.data for entry in history.committed}
    for _, _, data, _ in acknowledged_writes(history):
        if data not in kept:
            yield f"write {data}: acknowledged and lost"


def check_reads(history):
    """A read sees what its route promises. The data of an item grow with each write to it."""
    by_item = collections.defaultdict(list)
    for at, item, data, session in acknowledged_writes(history):
        by_item[item].append((at, int(data.split("-")[1]), session))
    for statement in history.statements:
        words = statement.text.split(" ")
        if words[0] != "READ" or statement.error is not None or statement.in_transaction:
            continue
        age = READ_AGE_S[statement.database]
        due = [number for at, number, session in by_item[words[1]]
               if at < statement.started - age - CLOCK_MARGIN_S or
               (statement.database == "own" and session == statement.session and
                at < statement.started)]
        row = statement.rows[0] if statement.rows else "None"
        seen = int(row.split("-")[1]) if row != "None" else 0
        if due and seen < max(due):
            yield f"request {statement.request}: saw {row}, number {max(due)} was due"


def check_fences(history):
    """Each accepted order has a fence of its own, and they grow."""
    for before, after in zip(history.fences, history.fences[1:]):
        if after <= before:
            yield f"fence {after} after {before}"


def check_keys(history):
    """A withdrawn key stops working, also on open sessions."""
    sessions = {statement.request: statement.session for statement in history.statements}
    for at, key, _ in history.withdrawn:
        for run in history.runs:
            session = sessions.get(run.request)
            if run.at > at + KEY_BOUND_S and history.keys.get(session) == key:
                yield f"request {run.request}: ran {run.at - at:.1f} s after its key was withdrawn"


def check_evacuations(history):
    """A zone that is taken out gets no statements after the bound."""
    for accepted, ended, zone in history.evacuations:
        for run in history.runs:
            if run.zone == zone and accepted + EVACUATION_BOUND_S < run.at < ended:
                yield f"request {run.request}: ran in {zone}, which was taken out"


def check_rates(history, rate, burst):
    """No account gets more than its rate over all instances."""
    operations = {statement.request: statement.operation for statement in history.statements}
    first = {}
    for run in history.runs:
        operation = operations.get(run.request)
        if operation is not None:
            first.setdefault((run.account, operation), run.at)
    limit = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    by_account = collections.defaultdict(list)
    for (account, _), at in first.items():
        by_account[account].append(at)
    for account, times in by_account.items():
        times.sort()
        start = 0
        for end, at in enumerate(times):
            while times[start] < at - QUOTA_WINDOW_S:
                start += 1
            if end - start + 1 > limit:
                yield f"account {account}: {end - start + 1} operations in {QUOTA_WINDOW_S} s"
                break


def check_recovery(history):
    """After the faults every instance that runs serves again."""
    for instance, served in history.recovered.items():
        if not served:
            yield f"instance {instance}: serves nothing after the faults have ended"


def check_stops(history):
    """A planned stop ends within its grace, with status 0."""
    for instance, _, status in history.planned_stops:
        if status != 0:
            yield f"instance {instance}: a planned stop ended with {status}"


def judge(history, rate, burst):
    checks = [check_answers, check_requests, check_sessions, check_writes, check_lost_writes,
              check_reads, check_fences, check_keys, check_evacuations, check_recovery,
              check_stops]
    findings = [finding for check in checks for finding in check(history)]
    return findings + list(check_rates(history, rate, burst))
