"""Tests of oriolethread-platform when the store comes back from an older copy: revisions are given
out again, and what was written after the copy is gone until its writers write it again."""

import time
import unittest

from platform_fixtures import PlatformTest

# The time for which a state that must not change is watched; it spans two polls of the peers.
WATCH_S = 2.5
# As CONTRIBUTING.md: a change is in force everywhere within this time.
IN_FORCE_S = 4.0
# The time for a change in the store to reach all instances.
SETTLE_S = 1.5


class RestoredStoreTest(PlatformTest):
    def publish(self):
        self.platform.call(self.platform.publish)

    def write_every_kind(self):
        """Gives out revisions for objects of each kind, and waits until the instances follow."""
        put = self.platform.store.put
        for _ in range(5):
            for server in self.platform.database.servers.values():
                self.platform.call(self.platform.register, server)
            self.platform.call(put, "evacuations", "zone-x", {})
            self.platform.call(put, "evacuations", "zone-x", None)
        self.platform.keys["acme"].append("marker-key")
        self.publish()
        self.wait_for_key("marker-key")
        self.wait(lambda: all("zone=zone-x" in instance.log() for instance in self.instances),
                  "the evacuation in each log")

    def take_copy(self):
        return self.platform.call(self.platform.store.take_copy)

    def restore(self, older_copy):
        self.platform.call(self.platform.store.restore, older_copy)

    def stored_fence(self):
        orders = self.platform.store.objects.get("oriole-promotions", {}).values()
        return next((order["spec"].get("fence") for order in orders), None)

    def accepts(self, key, index=0):
        return self.session(key=key, index=index).greeting.startswith("READY")

    def wait_for_key(self, key, accepted=True):
        for index in range(len(self.instances)):
            self.wait(lambda index=index: self.accepts(key, index) == accepted,
                      f"{'acceptance' if accepted else 'refusal'} of {key} at instance {index}")


class ConfigurationTest(RestoredStoreTest):
    # Guards against a configuration that stays out of force, because its revision was given out
    # before the restore.
    def test_configuration_with_a_repeated_revision_comes_into_force(self):
        older = self.take_copy()
        self.write_every_kind()
        self.restore(older)
        self.platform.keys["acme"].append("new-key")
        self.publish()
        self.wait_for_key("new-key")

    # Guards against a watch that goes on from its old revision and misses what was written below
    # that revision since the restore.
    def test_configuration_written_before_the_watch_returns_comes_into_force(self):
        older = self.take_copy()
        self.write_every_kind()
        self.platform.keys["acme"].append("new-key")

        async def restore_and_pass_the_old_revision():
            await self.platform.store.restore(older)
            self.platform.store.oldest_revision = 0
            await self.platform.publish()
            for number in range(50):
                await self.platform.store.put("other", f"object-{number}", {})

        self.platform.call(restore_and_pass_the_old_revision)
        self.wait_for_key("new-key")

    # Guards against a watch whose connection has gone silent with the restore: it would wait for its
    # whole time, although the other watches have told of the restore.
    def test_configuration_comes_into_force_although_its_watch_stays_silent(self):
        older = self.take_copy()
        self.write_every_kind()
        self.platform.store.silent_kinds = {"config"}
        self.restore(older)
        self.platform.keys["acme"].append("new-key")
        self.publish()
        published = time.monotonic()
        self.wait_for_key("new-key")
        self.assertLess(time.monotonic() - published, IN_FORCE_S)

    # Guards against a withdrawn key that is accepted again, because the copy still has it.
    def test_configuration_of_the_copy_does_not_replace_a_newer_one(self):
        older = self.take_copy()
        self.platform.keys["acme"] = ["other-key"]
        self.publish()
        self.wait_for_key("acme-key", accepted=False)
        self.restore(older)
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            self.assertFalse(self.accepts("acme-key"))
            self.assertTrue(self.accepts("other-key"))
            time.sleep(0.1)

    # Guards against an instance that starts after the restore and uses the configuration of the
    # copy, although the others know a newer one.
    def test_started_instance_takes_the_newer_configuration_of_the_others(self):
        older = self.take_copy()
        self.platform.keys["acme"] = ["other-key"]
        self.publish()
        self.wait_for_key("other-key")
        self.restore(older)
        self.start_instance("zone-c")
        self.wait_for_key("other-key")
        self.assertFalse(self.accepts("acme-key", index=len(self.instances) - 1))


class ServersTest(RestoredStoreTest):
    def reads_at(self, server):
        """Reads 20 times at the instance of the server's zone. Returns how many the server ran."""
        before = len(server.ran)
        for _ in range(20):
            self.run_until_done(self.session("bounded", index=1), "READ a")
        return len(server.ran) - before

    def setUp(self):
        super().setUp()
        self.replica = self.server("i-1")
        self.assertGreater(self.reads_at(self.replica), 0)

    # Guards against a server that stays in use although it drains after the restore.
    def test_server_that_drains_after_the_restore_gets_no_statements(self):
        older = self.take_copy()
        self.write_every_kind()
        self.restore(older)
        self.platform.call(self.platform.register, self.replica, "draining")
        time.sleep(SETTLE_S)
        self.assertEqual(self.reads_at(self.replica), 0)

    # Guards against a server that left before the restore and is used again, because the copy
    # still has its entry.
    def test_server_that_left_before_the_restore_is_not_used_again(self):
        older = self.take_copy()
        self.write_every_kind()
        self.platform.call(self.platform.store.put, "servers", "i-1", None)
        time.sleep(SETTLE_S)
        self.restore(older)
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            self.assertEqual(self.reads_at(self.replica), 0)

    # Guards against an evacuation that is not followed, because its revision was given out before
    # the restore.
    def test_zone_evacuated_after_the_restore_gets_no_statements(self):
        older = self.take_copy()
        self.write_every_kind()
        self.restore(older)
        self.platform.call(self.platform.store.put, "evacuations", "zone-b", {})
        time.sleep(SETTLE_S)
        self.assertEqual(self.reads_at(self.replica), 0)

    # Guards against statements for an evacuated zone, because the copy lacks the evacuation.
    def test_evacuation_stays_in_force_until_the_operator_writes_it_again(self):
        older = self.take_copy()
        self.write_every_kind()
        self.platform.call(self.platform.store.put, "evacuations", "zone-b", {})
        time.sleep(SETTLE_S)
        self.restore(older)
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            self.assertEqual(self.reads_at(self.replica), 0)


class PromotionTest(RestoredStoreTest):
    # Guards against promotions that the platform refuses, or takes for another instance's, because
    # the fencing tokens go back with the store's revisions.
    def test_fencing_tokens_increase_over_a_restore(self):
        session = self.session()
        self.run_until_done(session, "WRITE a one")
        older = self.take_copy()
        self.write_every_kind()
        self.platform.call(self.server("i-0").crash)
        self.run_until_done(session, "WRITE a two")
        second = self.platform.database.leader
        self.restore(older)
        self.platform.call(second.crash)
        started = time.monotonic()
        self.run_until_done(session, "WRITE a three")
        self.assertLess(time.monotonic() - started, 6.0)
        self.assertEqual(self.platform.fences, sorted(set(self.platform.fences)))
        self.assertGreaterEqual(len(self.platform.fences), 2)


    # Guards against two instances that promote in turn, because a restored store has lost the order
    # of the first.
    def test_lost_promotion_order_is_written_again_with_its_token(self):
        session = self.session()
        older = self.take_copy()
        self.platform.call(self.server("i-0").crash)
        self.run_until_done(session, "WRITE a one")
        fence = self.platform.fences[-1]
        self.restore(older)
        self.wait(lambda: self.stored_fence() == fence, "the order in the restored store")


class UnfencedPromotionTest(RestoredStoreTest):
    fenced = False
    instance_zones = ("zone-a", "zone-b", "zone-c")

    # Guards against an instance that confirms the lease on a replaced primary, because it starts
    # after the restore and the instance that wrote the lost order has ended.
    def test_lost_order_of_an_ended_instance_is_written_again(self):
        session = self.session()
        older = self.take_copy()
        self.platform.call(self.server("i-0").crash)
        self.run_until_done(session, "WRITE a one")
        fence = self.platform.fences[-1]
        order = next(iter(self.platform.store.objects["oriole-promotions"].values()))
        holder = int(order["spec"]["holder"].removeprefix("instance-"))
        self.instances[holder].process.kill()
        self.restore(older)
        self.wait(lambda: self.stored_fence() == fence, "the order in the restored store")


class RegistrationTest(RestoredStoreTest):
    # Guards against an instance whose entry is lost with the restore and stays out of the list,
    # so that the others do not know it.
    def test_lost_entry_of_an_instance_is_written_again(self):
        older = self.take_copy()
        older[1].pop("oriole-instances")
        self.restore(older)
        names = {f"instance-{number}" for number in range(len(self.instances))}
        started = time.monotonic()
        self.wait(lambda: names <= set(self.platform.store.objects.get("oriole-instances", {})),
                  "the entries of all instances")
        self.assertLess(time.monotonic() - started, 5.0)


if __name__ == "__main__":
    unittest.main()
