"""One process is stopped with SIGTERM, as planned, while clients go on to use their open sessions.

Each client sends its next statement when it has the answer to the one before, and goes to another
process once its session is closed. Nothing is disturbed. Servers have the figures of the site: 3
slots, 24 ms a read, 8 ms a write."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from case import TROUBLE, run_case
from small_site import KEYS, Session, Site

INSTANCE_ZONES = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
CLIENTS = 16
STOP_AT_S = 2.0
TRAFFIC_S = 10.0
GRACE_S = 6.0
# A backend may still be at work in the last sixth of the grace time on a request that was sent no
# later than this after SIGTERM.
EXCUSED_UNTIL_S = 3.0


class Client(threading.Thread):
    """Sends statements without a pause, first at the process that is to be stopped."""

    def __init__(self, recorder, number, instances, until):
        super().__init__(daemon=True)
        self.recorder, self.instances, self.until = recorder, instances, until
        self.name, self.number = f"c{number}", number
        self.cut = []  # (id, time when it was sent) of the requests that got no answer
        self.served = 0

    def run(self):
        place = 0
        while time.monotonic() < self.until:
            instance = self.instances[place % len(self.instances)]
            place = 1 + (place + self.number) % (len(self.instances) - 1)
            request, sent = None, 0.0
            try:
                database = ("newest", "bounded", "own")[self.number % 3]
                session = Session(self.recorder, self.name, instance, database, KEYS["acme"])
                while time.monotonic() < self.until:
                    text = "WRITE item one" if self.served % 5 == 0 else "READ item"
                    request, sent = session.next_id(), time.monotonic()
                    self.served += session.run(text, request).ok
                    request = None
            except OSError:
                if request is not None:
                    self.cut.append((request, sent))


def play(recorder, work_dir):
    with Site(recorder, work_dir, INSTANCE_ZONES, read_s=0.024, write_s=0.008,
              handshake_s=0.027, lag_s=0.06) as site:
        until = time.monotonic() + TRAFFIC_S
        clients = [Client(recorder, number, site.instances, until) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(STOP_AT_S)
        stopped_at = time.monotonic()
        if TROUBLE:
            recorder.write(f"SIGTERM {site.instances[0].name}")
            site.instances[0].stop(GRACE_S)
            recorder.write(f"{site.instances[0].name} has ended")
        for client in clients:
            client.join(timeout=TRAFFIC_S + 15)
        ran = {run[3]: run for run in recorder.runs}
        lost = [(sent - stopped_at, request) for client in clients for request, sent in client.cut
                if request in ran and sent > stopped_at + EXCUSED_UNTIL_S]
        broken = [f"LOST: id={request}, sent {after:.2f} s after SIGTERM, ran at "
                  f"{ran[request][0].id} ({ran[request][4]!r}), and its connection ended without "
                  f"an answer" for after, request in sorted(lost)]
        return broken, sum(client.served for client in clients)


if __name__ == "__main__":
    sys.exit(run_case(HERE, [play]))
