"""Tests of changes of primary where commits are acknowledged once one replica has received them: the
promoted server must have every acknowledged commit."""

import time
import unittest

from platform_fixtures import PlatformTest


class SynchronousReplicasTest(PlatformTest):
    sync_replicas = 1
    instance_zones = ("zone-a", "zone-b", "zone-c")

    def setUp(self):
        super().setUp()
        self.primary, self.holder, self.other = (self.server(f"i-{number}") for number in range(3))
        self.writer = self.session("newest")
        self.run_until_done(self.writer, "WRITE a one")

    def write_to_holder_only(self):
        """Writes while only `holder` receives the log of the primary."""
        self.other.receiving = False
        self.run_until_done(self.writer, "WRITE a two")

    def crash(self, server):
        self.platform.call(server.crash)

    def promoted(self):
        """Sends a statement, without which no instance notices a lost primary."""
        self.writer.run("READ a")
        return self.platform.database.leader is not self.primary

    def assert_promoted_has_the_commit(self):
        self.wait(self.promoted, "a change of primary")
        self.assertIn("two", [data for _, _, data in self.platform.database.leader.log])
        self.assertEqual(self.run_until_done(self.session("newest"), "READ a").rows, ["two"])

    # Guards against a promotion that loses commits, because a draining replica that has them is not
    # asked for its log.
    def test_commits_of_a_draining_replica_are_kept(self):
        self.platform.call(self.platform.register, self.holder, "draining")
        self.write_to_holder_only()
        self.crash(self.primary)
        self.assert_promoted_has_the_commit()

    # Guards against the same for a replica in an evacuated zone.
    def test_commits_of_a_replica_in_an_evacuated_zone_are_kept(self):
        self.platform.call(self.platform.store.put, "evacuations", self.holder.zone, {})
        self.write_to_holder_only()
        self.crash(self.primary)
        self.assert_promoted_has_the_commit()

    # Guards against the same for a replica that answers late: its silence does not say that it has
    # no commits.
    def test_commits_of_a_replica_that_does_not_answer_are_kept(self):
        self.write_to_holder_only()
        self.holder.dark = True
        self.crash(self.primary)
        silent_until = time.monotonic() + 2.5
        while time.monotonic() < silent_until:
            self.assertFalse(self.promoted())
        self.holder.dark = False
        self.assert_promoted_has_the_commit()

    # Guards against the same for a replica that has lost its entry in the store, but still receives
    # and acknowledges commits.
    def test_commits_of_a_replica_without_an_entry_are_kept(self):
        self.write_to_holder_only()
        self.platform.call(self.platform.store.put, "servers", self.holder.id, None)
        time.sleep(0.5)
        self.run_until_done(self.writer, "WRITE b one")
        self.crash(self.primary)
        self.assert_promoted_has_the_commit()


if __name__ == "__main__":
    unittest.main()
