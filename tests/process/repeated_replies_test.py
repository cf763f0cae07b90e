"""Tests of oriolethread-platform with a store and a promotion API that send replies a second time, at
once or late: no call takes the reply to an earlier one for its own."""

import time
import unittest

from platform_fixtures import PlatformTest

# The time that a call to the store takes, as across availability zones.
STORE_DELAY_S = 0.03
# At once, while the next call runs, and while a watch waits.
REPEAT_DELAYS_S = (0.0, 0.01, 0.05, 0.7)
# As CONTRIBUTING.md: a change is in force everywhere within this time.
IN_FORCE_S = 4.0
# As CONTRIBUTING.md: a change of primary is over within this time.
PRIMARY_CHANGED_S = 6.0
# The time for which a state that must not change is watched: each watch of the store ends once.
WATCH_S = 4.5
UNEXPECTED_EVENTS = ("event=task", "event=session_failed")


class RepeatedRepliesTest(PlatformTest):
    instance_zones = ("zone-a", "zone-b", "zone-c")

    def setUp(self):
        super().setUp()
        self.platform.store.reply_delay_s = STORE_DELAY_S
        self.run_until_done(self.session("newest"), "READ a")

    def tearDown(self):
        for instance in self.instances:
            self.assertIsNone(instance.process.poll(), "an instance has ended")
            for event in UNEXPECTED_EVENTS:
                self.assertNotIn(event, instance.log())

    def repeat(self, delay_s):
        for replies in (self.platform.store, self.platform.promotion_replies):
            replies.repeat_share = 1.0
            replies.repeat_delay_s = delay_s

    def write_other_kinds(self):
        """Lets the watches of the servers and of the evacuations return too."""
        for server in self.platform.database.servers.values():
            self.platform.call(self.platform.register, server)
        self.platform.call(self.platform.store.put, "evacuations", "zone-x", {})
        self.platform.call(self.platform.store.put, "evacuations", "zone-x", None)

    def publish_key(self, key):
        """Withdraws the previous key. Returns the time of the acknowledgement."""
        self.platform.keys["acme"] = [key]
        self.platform.call(self.platform.publish)
        return time.monotonic()

    def accepts(self, key, index):
        return self.session(key=key, index=index).greeting.startswith("READY")

    def wait_everywhere(self, condition, since, limit_s, what):
        """Waits until `condition(index)` holds at each instance, and checks the time it took."""
        for index in range(len(self.instances)):
            self.wait(lambda index=index: condition(index), f"{what} at instance {index}")
        self.assertLess(time.monotonic() - since, limit_s, what)

    def assert_in_force(self, key, old_key, since):
        self.wait_everywhere(lambda index: self.accepts(key, index), since, IN_FORCE_S,
                             f"acceptance of {key}")
        self.wait_everywhere(lambda index: not self.accepts(old_key, index), since, IN_FORCE_S,
                             f"refusal of {old_key}")

    def assert_stays(self, condition, what):
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            for index in range(len(self.instances)):
                self.assertTrue(condition(index), f"{what} at instance {index}")
            time.sleep(0.05)

    def restart(self, server):
        self.platform.call(self.platform.start_server, server)
        self.platform.call(self.platform.register, server)

    def current_primary(self):
        return self.platform.database.leader


class ConfigurationTest(RepeatedRepliesTest):
    # Guards against a watch that takes the reply to another call for its own: the change is skipped,
    # or an older version comes into force again.
    def test_change_is_in_force_in_time_and_stays(self):
        old_key = "acme-key"
        for delay_s in REPEAT_DELAYS_S:
            self.repeat(delay_s)
            for number in range(3):
                self.write_other_kinds()
                key = f"key-{delay_s}-{number}"
                self.assert_in_force(key, old_key, self.publish_key(key))
                old_key, older_key = key, old_key
        self.assert_stays(lambda index: self.accepts(old_key, index), f"acceptance of {old_key}")
        self.assert_stays(lambda index: not self.accepts(older_key, index),
                          f"refusal of {older_key}")

    # Guards against a connection that stays one reply behind after the store repeats none any more.
    def test_change_is_in_force_in_time_after_repeats_have_ended(self):
        self.repeat(0.0)
        self.write_other_kinds()
        time.sleep(WATCH_S)
        self.platform.store.repeat_share = 0.0
        self.assert_in_force("new-key", "acme-key", self.publish_key("new-key"))

    # Guards against a withdrawn key that goes on working on sessions that are open.
    def test_withdrawn_key_ends_open_sessions(self):
        for delay_s in REPEAT_DELAYS_S:
            key = self.platform.keys["acme"][0]
            sessions = [self.session(key=key, index=index)
                        for index in range(len(self.instances))]
            self.repeat(delay_s)
            self.write_other_kinds()
            since = self.publish_key(f"key-{delay_s}")
            self.wait_everywhere(lambda index, open_sessions=sessions:
                                 open_sessions[index].run("READ a").error == "DENIED",
                                 since, IN_FORCE_S, f"end of the sessions of {key}")
            self.assert_in_force(f"key-{delay_s}", key, since)


class ServerTest(RepeatedRepliesTest):
    # Guards against a reply with servers that is taken for another list, so that a draining server
    # goes on getting statements, or all servers are gone.
    def test_draining_server_gets_no_statements(self):
        server = self.server("i-1")
        for delay_s in REPEAT_DELAYS_S:
            self.repeat(delay_s)
            self.write_other_kinds()
            self.platform.call(self.platform.register, server, "draining")
            time.sleep(IN_FORCE_S)
            before = len(server.ran)
            for index in range(len(self.instances)):
                for _ in range(10):
                    self.assertIsNone(self.session("bounded", index=index).run("READ a").error)
            self.assertEqual(len(server.ran), before)
            self.platform.call(self.platform.register, server, "ready")

    # Guards against an evacuation that a reply of another kind starts or takes back.
    def test_evacuated_zone_gets_no_statements(self):
        server = self.server("i-1")
        for delay_s in REPEAT_DELAYS_S:
            self.repeat(delay_s)
            self.write_other_kinds()
            self.platform.call(self.platform.store.put, "evacuations", server.zone, {})
            time.sleep(IN_FORCE_S)
            before = len(server.ran)
            for index in range(len(self.instances)):
                for _ in range(10):
                    self.assertIsNone(self.session("bounded", index=index).run("READ a").error)
            self.assertEqual(len(server.ran), before)
            self.platform.call(self.platform.store.put, "evacuations", server.zone, None)


class PrimaryTest(RepeatedRepliesTest):
    # Guards against an order or a promotion that is taken for accepted by the reply to another call:
    # the database stays without a primary, or two orders have the same fencing token.
    def test_lost_primary_is_replaced_under_rising_fences(self):
        session = self.session("newest")
        for number, delay_s in enumerate(REPEAT_DELAYS_S):
            self.repeat(delay_s)
            self.write_other_kinds()
            self.run_until_done(session, f"WRITE a {number}")
            lost = self.current_primary()
            since = time.monotonic()
            self.platform.call(lost.crash)
            self.run_until_done(session, f"WRITE a next{number}")
            self.assertLess(time.monotonic() - since, PRIMARY_CHANGED_S)
            self.assertIsNot(self.current_primary(), lost)
            self.restart(lost)
            time.sleep(1.0)
        orders = self.platform.orders
        self.assertEqual(self.platform.fences, sorted(self.platform.fences))
        self.assertEqual(len(set(orders)), len({fence for fence, _, _ in orders}), orders)


class SingleInstanceTest(RepeatedRepliesTest):
    instance_zones = ("zone-a",)

    # Guards against a refused promotion that the reply to an earlier one makes look accepted.
    def test_refused_promotion_is_not_taken_for_accepted(self):
        session = self.session("newest")
        self.repeat(0.0)
        self.platform.store.repeat_share = 0.0
        lost = self.current_primary()
        self.platform.call(lost.crash)
        self.run_until_done(session, "WRITE a one")
        self.restart(lost)
        time.sleep(1.0)
        accepted = len(self.platform.orders)
        self.platform.refuses_promotions = True
        self.platform.call(self.current_primary().crash)
        end = time.monotonic() + PRIMARY_CHANGED_S
        while time.monotonic() < end:
            session.run("READ a")
        self.assertEqual(self.accepted_and_logged(), accepted)

    def accepted_and_logged(self):
        return sum("event=primary_change" in line and "outcome=accepted" in line
                   for instance in self.instances for line in instance.log().splitlines())

if __name__ == "__main__":
    unittest.main()
