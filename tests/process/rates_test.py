"""Rate limits of client accounts, which hold over all instances together."""

import unittest

from fixtures import KEY, SiteTest
from load import Load
from oriole_site.http import Caller, get_row
from oriole_site.processes import wait_until

RATE, BURST = 40, 20
LOWER_RATE, LOWER_BURST = 20, 10
# At the account's rate, this many requests take longer than the 10 s lease of a lent rate share, so
# the paused instance's lease expires.
REQUESTS_IN_PAUSE = 420
REQUESTS_BETWEEN_STEPS = 60
# Many times as long as the requests of one step take at the account's rate. It bounds the duration
# of a failing test only.
LOAD_WAIT_S = 90.0


def worst_excess(samples, rate, burst):
    """The largest excess of admitted requests over rate * (b - a) + burst in any interval [a, b].

    A request sent after `a` and answered before `b` was admitted in [a, b], so a positive excess
    proves that the instances together exceeded the rate.
    """
    done = sorted((s for s in samples if s.done), key=lambda s: s.answered)
    worst = float("-inf")
    for start in {s.sent for s in done}:
        inside = 0
        for sample in done:
            if sample.sent < start:
                continue
            inside += 1
            worst = max(worst, inside - rate * (sample.answered - start) - burst)
    return worst


class RatesTest(SiteTest):
    # With few rate shares per zone (share_slots), the instances together use nearly the whole rate
    # of an account. If two of them use the same share, the account exceeds its rate. The killed
    # instance is the only one of its zone; the zone's second share is free for the restarted
    # instance.
    options = {
        "instances": 3,
        "share_slots": 2,
        "accounts": {"acme": (KEY, RATE, BURST), "modest": ("modest-key", 4000, 4000)},
    }

    def load(self, key, instances, pause_s=0.0):
        callers = [Caller(instance.caller_port, key) for instance in instances]
        self.close_after_test(callers)

        def send(thread, _):
            return callers[thread].run(self.service("read"), get_row("r"))

        return Load(send, len(callers), pause_s)

    def wait_for_done(self, load, count):
        start = load.done_count()
        wait_until(lambda: load.done_count() >= start + count, LOAD_WAIT_S, "progress of the load")

    def assert_rate_kept(self, samples, rate, burst):
        self.assertLessEqual(worst_excess(samples, rate, burst), 0.0)

    # Guards against a rate share used by two instances at once: by a paused instance whose lease
    # expired and the next holder, or by a killed instance and its restart under a new id. Guards
    # also against requests refused to one account because another exceeds its rate.
    def test_greedy_account_keeps_its_rate_through_pause_and_restart(self):
        steady, killed, paused = self.site.instances
        with self.load("modest-key", [steady], 0.05) as modest, self.load(
            KEY, self.site.instances
        ) as greedy:
            self.wait_for_done(greedy, REQUESTS_BETWEEN_STEPS)
            paused.process.pause()
            self.wait_for_done(greedy, REQUESTS_IN_PAUSE)
            paused.process.resume()
            self.wait_for_done(greedy, REQUESTS_BETWEEN_STEPS)
            killed.process.kill()
            self.wait_for_done(greedy, REQUESTS_BETWEEN_STEPS)
            self.site.start_instance(killed)
            self.site.wait_ready()
            self.wait_for_done(greedy, REQUESTS_BETWEEN_STEPS)
        self.assert_rate_kept(greedy.samples(), RATE, BURST)
        self.assertGreater(modest.done_count(), 0)
        self.assertEqual([str(s) for s in modest.samples() if not s.done], [])

    # Guards against instances that still apply the former rate after a lower one is in force.
    def test_lower_rate_holds_once_in_force(self):
        self.site.options.accounts["acme"] = (KEY, LOWER_RATE, LOWER_BURST)
        try:
            self.site.apply()
            self.site.wait_in_force()
            with self.load(KEY, self.site.instances) as greedy:
                self.wait_for_done(greedy, REQUESTS_BETWEEN_STEPS)
            self.assert_rate_kept(greedy.samples(), LOWER_RATE, LOWER_BURST)
        finally:
            self.site.options.accounts["acme"] = (KEY, RATE, BURST)
            self.site.apply()
            self.site.wait_in_force()


if __name__ == "__main__":
    unittest.main()
