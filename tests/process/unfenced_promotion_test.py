"""Tests of oriolethread-platform where the platform does not check fencing tokens and a replaced
primary keeps accepting writes: changes of primary with leases."""

import signal
import time
import unittest

from platform_fixtures import PlatformTest

# As fleet::primary_lease_period.
LEASE_PERIOD_S = 1.5


class UnfencedPromotionTest(PlatformTest):
    fenced = False
    instance_zones = ("zone-a", "zone-b", "zone-c")

    def acknowledged_writes(self, session, count, prefix):
        for number in range(count):
            self.run_until_done(session, f"WRITE {prefix}{number} value{number}")
        return {f"{prefix}{number}": f"value{number}" for number in range(count)}

    def assert_in_log(self, server, written):
        log = {item: data for _, item, data in server.log}
        for item, data in written.items():
            self.assertEqual(log.get(item), data, item)

    # Guards against a service that stays without a primary, because the leases on the lost primary
    # are never given up.
    def test_lost_primary_is_replaced(self):
        session = self.session()
        self.acknowledged_writes(session, 3, "before")
        self.server("i-0").dark = True
        written = self.acknowledged_writes(self.session(index=1), 3, "after")
        self.assertIsNot(self.platform.database.leader, self.server("i-0"))
        self.assert_in_log(self.platform.database.leader, written)

    # Guards against acknowledged writes that are lost, because they went to a replaced primary that
    # is reachable again and still takes itself for the primary.
    def test_replaced_primary_that_returns_gets_no_writes(self):
        sessions = [self.session(index=index) for index in range(3)]
        self.run_until_done(sessions[0], "WRITE first value")
        self.server("i-0").dark = True
        self.run_until_done(sessions[1], "WRITE second value")
        self.server("i-0").dark = False
        for index, session in enumerate(sessions):
            written = self.acknowledged_writes(session, 5, f"item{index}-")
            self.assert_in_log(self.platform.database.leader, written)

    # Guards against a promotion while an instance that does not answer may still use the previous
    # primary.
    def test_promotion_waits_for_the_lease_of_a_silent_instance(self):
        session = self.session(index=1)
        self.run_until_done(session, "WRITE first value")
        self.instances[0].process.send_signal(signal.SIGSTOP)
        stopped = time.monotonic()
        self.server("i-0").dark = True
        self.run_until_done(session, "WRITE second value")
        self.assertGreater(time.monotonic() - stopped, LEASE_PERIOD_S)
        self.instances[0].process.send_signal(signal.SIGCONT)
        written = self.acknowledged_writes(self.session(index=0), 3, "third")
        self.assert_in_log(self.platform.database.leader, written)

    # Guards against writes by an instance that cannot know whether a promotion was ordered.
    def test_instance_without_a_majority_of_zones_refuses_writes(self):
        session = self.session(index=2)
        self.run_until_done(session, "WRITE first value")
        for index in (0, 1):
            self.instances[index].process.send_signal(signal.SIGSTOP)
        self.wait(lambda: session.run("WRITE second value").error == "BUSY", "a refused write")
        for index in (0, 1):
            self.instances[index].process.send_signal(signal.SIGCONT)
        self.run_until_done(session, "WRITE third value")

    # Guards against a promotion by an instance that cannot announce it to a majority of the zones.
    def test_instance_without_a_majority_of_zones_promotes_no_server(self):
        session = self.session(index=2)
        self.run_until_done(session, "WRITE first value")
        for index in (0, 1):
            self.instances[index].process.send_signal(signal.SIGSTOP)
        self.server("i-0").dark = True
        deadline = time.monotonic() + 3 * LEASE_PERIOD_S
        while time.monotonic() < deadline:
            session = self.write_or_reopen(session, "WRITE second value")
            time.sleep(0.05)
        self.assertEqual(self.platform.fences, [])
        for index in (0, 1):
            self.instances[index].process.send_signal(signal.SIGCONT)
        self.wait(lambda: self.session(index=2).greeting.startswith("READY"), "a new session")
        self.run_until_done(self.session(index=2), "WRITE third value")

    def write_or_reopen(self, session, text):
        """Runs the write; returns the session for the next one. An instance that considers itself
        isolated closes idle sessions, so that their callers connect elsewhere."""
        try:
            session.run(text)
            return session
        except OSError:
            return self.session(index=2)


if __name__ == "__main__":
    unittest.main()
