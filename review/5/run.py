"""The open connections to the store go silent, without a reset, while new ones work. 5 s later the
operator takes a key away.

Clients read with this key at each process all the while. A process is in touch again
stability_window_ms (4 s) after the disruption, and config_apply_ms is 3 s."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from case import TROUBLE, run_case
from small_site import KEYS, Session, Site

INSTANCE_ZONES = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
TENANT = "kita"
SILENT_AT_S = 2.0
KEY_TAKEN_AT_S = 7.0
TRAFFIC_S = 16.0
PAUSE_S = 0.25
CONFIG_APPLY_S = 3.0


class Client(threading.Thread):
    """Reads with the key that is taken away; connects again when its session ends."""

    def __init__(self, recorder, name, instance, until):
        super().__init__(daemon=True)
        self.recorder, self.name, self.instance, self.until = recorder, name, instance, until
        self.sent = {}  # id -> time
        self.served = 0

    def run(self):
        while time.monotonic() < self.until:
            try:
                session = Session(self.recorder, self.name, self.instance, "bounded", KEYS[TENANT])
                while time.monotonic() < self.until:
                    request = session.next_id()
                    self.sent[request] = time.monotonic()
                    self.served += session.run("READ item", request).ok
                    time.sleep(PAUSE_S)
            except OSError:
                time.sleep(PAUSE_S)


def play(recorder, work_dir):
    with Site(recorder, work_dir, INSTANCE_ZONES) as site:
        start = time.monotonic()
        clients = [Client(recorder, f"c{number}", instance, start + TRAFFIC_S)
                   for number, instance in enumerate(site.instances)]
        for client in clients:
            client.start()
        time.sleep(SILENT_AT_S)
        if TROUBLE:
            count = site.platform.call(site.platform.silence_store_connections)
            recorder.write(f"{count} open connections to the store go silent")
        time.sleep(KEY_TAKEN_AT_S - SILENT_AT_S)
        site.platform.keys[TENANT] = []
        site.platform.call(site.platform.publish)
        acknowledged_at = time.monotonic()
        recorder.write(f"version {site.platform.version} without the key of {TENANT} acknowledged")
        for client in clients:
            client.join(timeout=TRAFFIC_S + 15)
        sent = {request: at for client in clients for request, at in client.sent.items()}
        late = [(sent[run[3]] - acknowledged_at, run[3], run[0].id) for run in recorder.runs
                if run[3] in sent and sent[run[3]] > acknowledged_at + CONFIG_APPLY_S]
        broken = []
        if late:
            broken.append(f"CONFIG: {len(late)} requests ran with the key that was taken away, sent "
                          f"{late[0][0]:.1f} s to {late[-1][0]:.1f} s after the acknowledgement; "
                          f"the first: id={late[0][1]} at {late[0][2]}")
        return broken, sum(client.served for client in clients)


if __name__ == "__main__":
    sys.exit(run_case(HERE, [play]))
