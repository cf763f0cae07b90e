"""Classifies the requests that were cut off in a run of planned_work_driver, and keeps their traces."""

import os
import shutil
import time

from platform_fixtures import STOP_GRACE_S

LOST_S = 0.2
# A request after a shorter pause should not cross the end of its session: quiet sessions are closed.
CROSSING_PAUSE_S = 0.28
# Later than this after SIGTERM, a statement that still runs at the end of the grace period counts.
EXCUSED_SEND_S = 3.0
# Log lines of an instance that stand in the trace of a cut, besides those of the session's requests.
TRACED_EVENTS = tuple(f"event={name}" for name in (
    "start", "stop", "stop_requested", "readiness", "isolation", "task", "session_ended",
    "session_failed", "caller_lost"))
TRACED_TIME_S = 5.0
TRACED_REQUESTS = 3
DELAY_TIME_S = 1.0


class CutReport:
    """Kinds of a cut, the first that applies:

    held back: not run; the instance had ended the connection before the request was sent to it, and
    the relay or the client noticed it later.
    excused: the server was at work at the end of the grace period, and the request was sent early.
    LOST: the request was passed on to a server, or its connection ended later than 200 ms after it was
    sent to the instance.
    early: not run, cut off at once, soon after the last answer.
    crossed: the same after a pause.

    The sender is the client, or the relay, which may be late: its connection is that to the
    instance."""

    def __init__(self, driver):
        self.driver = driver
        self.ran = {run[0] for _, run in driver.platform.runs()}
        self.kinds = [(self.kind(cut), cut) for cut in driver.cuts]
        self.lost = self.count("LOST")

    def count(self, kind):
        return sum(found == kind for found, _ in self.kinds)

    def last_stop(self, cut):
        """The last SIGTERM to the instance before the connection ended; None without one."""
        stops = self.driver.stops[cut.client.instance]
        return max((at for at in stops if at <= cut.ended_at), default=None)

    @staticmethod
    def sender(cut):
        """The trace of the connection to the instance; None if the relay has not sent the request on
        it."""
        trace = cut.relayed or cut.client.wire
        return trace if trace.sent_at is not None and trace.sent_at >= cut.sent_at else None

    def kind(self, cut):
        sender = self.sender(cut)
        ran = cut.request in self.ran
        if not ran and (sender is None or not sender.view_at_send.other_side_open):
            return "held back"
        if ran or cut.ended_at - sender.sent_at > LOST_S:
            stop = self.last_stop(cut)
            excused = stop is not None and cut.sent_at - stop < EXCUSED_SEND_S and (
                cut.ended_at - stop > STOP_GRACE_S * 5 / 6)
            return "excused" if excused else "LOST"
        return "early" if sender.view_at_send.quiet_s < CROSSING_PAUSE_S else "crossed"

    def describe(self, kind, cut):
        stop = self.last_stop(cut)
        where = "no stop" if stop is None else f"sent {cut.sent_at - stop:.3f} s after SIGTERM"
        ended_at = time.time() - (time.monotonic() - cut.ended_at)
        delay = self.driver.delays.longest(ended_at - cut.took - DELAY_TIME_S, ended_at)
        sender = self.sender(cut)
        sent = "not sent to the instance" if sender is None else (
            f"sent to the instance {(sender.sent_at - cut.sent_at) * 1000:.0f} ms later "
            f"({sender.view_at_send})")
        return (f"{kind} {cut.request} {cut.text[:20]} at instance-{cut.client.instance} {where}, "
                f"{sent}, ended {cut.took * 1000:.0f} ms later, ran={cut.request in self.ran}, "
                f"pause before {cut.pause * 1000:.0f} ms, "
                f"driver up to {delay * 1000:.0f} ms late, "
                f"answer before {cut.previous or 'without error'}")

    def print(self):
        for kind, cut in self.kinds:
            if kind in ("excused", "LOST", "early"):
                print(f"  {self.describe(kind, cut)}")
        for kind in ("crossed", "held back"):
            pauses = sorted(round(cut.pause * 1000) for found, cut in self.kinds if found == kind)
            print(f"  {len(pauses)} {kind} (not run); after pauses of {pauses} ms")

    def keep(self, folder, whole_logs):
        """Writes the trace of each cut into the folder. Copies the instances' logs too if
        `whole_logs`, or if a cut is not explained by its trace."""
        os.makedirs(folder, exist_ok=True)
        with open(os.path.join(folder, "cuts.txt"), "w", encoding="utf-8") as out:
            for kind, cut in self.kinds:
                out.write(self.trace(kind, cut))
        if whole_logs or any(kind in ("LOST", "early") for kind, _ in self.kinds):
            for instance in self.driver.instances:
                shutil.copy(instance.log_path, folder)
        print(f"  traces in {folder}")

    def trace(self, kind, cut):
        lines = [self.describe(kind, cut)]
        lines += [f"  client {line}" for line in cut.client.wire.lines()]
        if cut.relayed is not None:
            lines += [f"  relay {line}" for line in cut.relayed.lines()]
        lines += [f"  instance {line}" for line in self.log_lines(cut)]
        return "\n".join(lines) + "\n\n"

    def log_lines(self, cut):
        """The lines of the session's last requests, and those about sessions and stops around the
        end."""
        ended_at = time.time() - (time.monotonic() - cut.ended_at)
        requests = [f" request={request} " for request in cut.client.requests[-TRACED_REQUESTS:]]
        for line in self.driver.instances[cut.client.instance].log().splitlines():
            words = line.split(" ", 2)
            if any(request in f"{line} " for request in requests):
                yield line
            elif len(words) > 1 and words[0].startswith("time=") and words[1] in TRACED_EVENTS:
                if abs(float(words[0].removeprefix("time=")) - ended_at) < TRACED_TIME_S:
                    yield line
