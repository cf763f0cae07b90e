"""Tests of changes of primary where commits are acknowledged once one replica has received them: the
promoted server must have every acknowledged commit."""

import threading
import time
import unittest

from platform_fixtures import PlatformTest

# Longer than the time until a silent primary counts as lost.
SILENT_S = 0.75
PROMOTION_DELAY_S = 0.6
WRITERS = 4


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

    # Guards against a draining primary that stays without a successor, because a server that is down
    # is waited for: it leaves soon, and until then its writes are refused.
    def test_draining_primary_hands_over_while_a_server_is_down(self):
        self.test_commits_of_a_draining_replica_are_kept()
        self.other.receiving = True
        self.wait(lambda: self.writer.run("READ a") and self.platform.database.leader is self.other,
                  "a primary that does not drain")
        self.assertEqual(self.run_until_done(self.session("newest"), "READ a").rows, ["two"])
        self.run_until_done(self.writer, "WRITE a three")

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

    # Guards against commits that are acknowledged after the replicas were asked for their logs, by a
    # primary that was only silent for a while, and are lost when the promotion takes effect.
    def test_commits_that_are_acknowledged_during_a_change_of_primary_are_kept(self):
        self.platform.promotion_delay_s = PROMOTION_DELAY_S
        acknowledged, stopped = [], threading.Event()

        def write_until_stopped(number):
            session = self.session("newest", index=number % len(self.instances))
            count = 0
            while not stopped.is_set():
                count += 1
                if session.run(f"WRITE c{number} {number}-{count}").error is None:
                    acknowledged.append(f"{number}-{count}")

        writers = [threading.Thread(target=write_until_stopped, args=(number,))
                   for number in range(WRITERS)]
        for writer in writers:
            writer.start()
        time.sleep(0.5)
        self.primary.dark = True
        for replica in (self.holder, self.other):
            replica.receiving = False
        time.sleep(SILENT_S)
        # Only one replica receives again, so that a promotion of the other one loses what follows.
        self.replica_that_is_not_promoted().receiving = True
        self.primary.dark = False
        self.wait(self.promoted, "a change of primary")
        time.sleep(1.0)
        stopped.set()
        for writer in writers:
            writer.join()
        kept = {data for _, _, data in self.platform.database.leader.log}
        self.assertEqual([data for data in acknowledged if data not in kept], [])

    # Guards against a service that gets no primary, because its servers cannot be paused.
    def test_replica_that_cannot_be_paused_is_promoted(self):
        for server in (self.holder, self.other):
            server.can_pause = False
        self.write_to_holder_only()
        self.crash(self.primary)
        self.assert_promoted_has_the_commit()

    # Guards against replicas that receive nothing any more, so that no commit is acknowledged, because
    # a change of primary stopped them and was not completed.
    def test_replicas_receive_again_when_the_primary_is_not_replaced(self):
        self.platform.refuses_promotions = True
        self.primary.dark = True
        self.wait(lambda: self.writer.run("READ a") and self.holder.paused, "a change of primary")
        self.primary.dark = False
        self.run_until_done(self.writer, "WRITE a two")
        self.assertEqual(self.run_until_done(self.session("newest"), "READ a").rows, ["two"])
        self.assertFalse(self.promoted())

    def replica_that_is_not_promoted(self):
        """Of equal logs, that of the server that is listed first is chosen."""
        return self.other


if __name__ == "__main__":
    unittest.main()
