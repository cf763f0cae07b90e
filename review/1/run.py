"""A process of a zone is killed and starts again while clients of the zone's other process pause
inside their transactions.

Each client of zone-a runs transactions of two writes, with a pause of 2.7 s before the second write
and before COMMIT; tx_idle_ms is 3,000. The site is played twice, and each time one of the zone's
two processes is killed once. Nothing else is disturbed."""

import collections
import functools
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from case import TROUBLE, run_case
from small_site import KEYS, Session, Site

INSTANCE_ZONES = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
PROCESSES_OF_ZONE_A = 2
# Two groups of clients come one after the other.
CLIENTS_PER_GROUP = 4
GROUP_STARTS_S = (0.0, 1.9)
CLIENT_GAP_S = 0.15
KILL_AT_S = 0.8
DOWN_S = 0.3
PAUSE_S = 2.7
TRAFFIC_S = 9.0
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class Attempt:
    """One attempt of a client at a transaction."""

    def __init__(self, client):
        self.client = client
        self.ids = []
        self.items = []
        self.commit_sent = False
        self.acknowledged = False
        self.promised = False  # told that nothing of the attempt is kept


class Client(threading.Thread):
    """Runs transactions on its session, and reconnects when the session breaks."""

    def __init__(self, recorder, group, number, instance, until):
        super().__init__(daemon=True)
        self.recorder, self.instance, self.until = recorder, instance, until
        self.name = f"c{group}{number}"
        self.key = list(KEYS.values())[group]
        self.start_delay_s = GROUP_STARTS_S[group] + CLIENT_GAP_S * number
        self.attempts = []

    def run(self):
        time.sleep(self.start_delay_s)
        while time.monotonic() < self.until:
            try:
                session = Session(self.recorder, self.name, self.instance, "newest", self.key)
                while time.monotonic() < self.until:
                    self.transaction(session)
            except OSError:
                time.sleep(0.3)

    def transaction(self, session):
        attempt = Attempt(self.name)
        self.attempts.append(attempt)
        items = [f"{self.name}-{len(self.attempts)}-{place}" for place in "ab"]
        attempt.items = items
        texts = ("BEGIN", f"WRITE {items[0]} one", f"WRITE {items[1]} two", "COMMIT")
        for place, text in enumerate(texts):
            if place >= 2:
                time.sleep(PAUSE_S)
            attempt.commit_sent = attempt.commit_sent or text == "COMMIT"
            attempt.ids.append(session.next_id())
            answer = session.run(text, attempt.ids[-1])
            if not answer.ok:
                attempt.promised = answer.error in PROMISES
                if answer.state != "I":
                    session.run("ROLLBACK")
                time.sleep(0.1)
                return
        attempt.acknowledged = True


def broken_rules(recorder, attempts, log):
    """Judges by what the servers ran and what the clients sent and were answered."""
    broken = []
    attempt_of = {request: attempt for attempt in attempts for request in attempt.ids}
    open_on = collections.defaultdict(list)  # connection -> runs of its open transaction
    for server, connection, _state, request, text, _outcome in recorder.runs:
        own = attempt_of.get(request)
        if own is None:
            broken.append(f"UNASKED: {server.id} ran id={request}, which no client sent")
            continue
        others = [run for run in open_on[connection] if run[1] is not own]
        if others:
            broken.append(f"PINNED: id={request} {text!r} of {own.client} ran on {connection} "
                          f"inside the transaction of {others[0][1].client}")
        open_on[connection].append((request, own))
        if text == "COMMIT":
            for other, foreign in others:
                if not foreign.commit_sent:
                    broken.append(f"UNASKED: id={request} of {own.client} committed the "
                                  f"transaction of {foreign.client} (id={other}), which has not "
                                  f"asked for it")
            open_on[connection] = []
    kept = {entry.item for entry in log}
    for attempt in attempts:
        if attempt.acknowledged and not kept.issuperset(attempt.items):
            broken.append(f"lost: COMMIT id={attempt.ids[-1]} of {attempt.client} was "
                          f"acknowledged, but the log lacks its writes")
        if attempt.promised and kept.intersection(attempt.items):
            broken.append(f"REFUSED: {attempt.client} was told by id={attempt.ids[-1]} that nothing "
                          f"is kept, but the log has its writes")
    return broken


def play(recorder, work_dir, victim):
    """Plays the traffic on a new site; the process `victim` of zone-a is killed once."""
    with Site(recorder, work_dir, INSTANCE_ZONES) as site:
        recorder.runs.clear()
        start = time.monotonic()
        entry = site.instances[(victim + 1) % PROCESSES_OF_ZONE_A]
        clients = [Client(recorder, group, number, entry, start + TRAFFIC_S)
                   for group in range(len(GROUP_STARTS_S)) for number in range(CLIENTS_PER_GROUP)]
        for client in clients:
            client.start()
        time.sleep(KILL_AT_S)
        if TROUBLE:
            recorder.write(f"SIGKILL {site.instances[victim].name}")
            site.instances[victim].kill()
            time.sleep(DOWN_S)
            recorder.write(f"start {site.instances[victim].name}")
            site.instances[victim].start()
        for client in clients:
            client.join(timeout=TRAFFIC_S + 15)
        attempts = [attempt for client in clients for attempt in client.attempts]
        log = site.platform.database.leader.log
        return broken_rules(recorder, attempts, log), sum(a.acknowledged for a in attempts)


if __name__ == "__main__":
    # Only the zone's gateway for the service holds transactions of the other process.
    PLAYS = [functools.partial(play, victim=number) for number in range(PROCESSES_OF_ZONE_A)]
    sys.exit(run_case(HERE, PLAYS))
