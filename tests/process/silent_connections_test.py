"""Tests of oriolethread-platform when open connections go silent: nothing arrives on them any more,
they are not reset, and new ones work."""

import time
import unittest

from platform_fixtures import PlatformTest

# As CONTRIBUTING.md: a change is in force everywhere within this time.
IN_FORCE_S = 4.0
EVERY_GROUP = ("store", "promotions", "servers", "instances")
# The time for an instance to have watches and connections of each kind open.
SETTLE_S = 1.5
STATEMENTS = 20
# The least time from one silence to the next, so that each comes to settled instances.
CALM_S = 5.0


class SilentConnectionsTest(PlatformTest):
    """The instances reach each other through relays, whose connections can go silent too."""

    instance_zones = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c")

    def setUp(self):
        self.ports = {}
        super().setUp()
        time.sleep(SETTLE_S)

    def add_instance(self, zone):
        if not self.ports:
            self.use_relays()
        return super().add_instance(zone)

    def use_relays(self):
        """Replaces the addresses of the instances in the store by those of relays."""
        platform, change = self.platform, self.platform.store.change

        async def relay(address):
            host, port = address.rsplit(":", 1)
            if port not in self.ports:
                self.ports[port] = await platform.relay(int(port))
            return f"{host}:{self.ports[port]}"

        async def change_with_relays(method, kind, name, body):
            if kind == "oriole-instances" and body:
                for field in ("peers", "gateway"):
                    body["spec"][field] = await relay(body["spec"][field])
            return await change(method, kind, name, body)

        platform.store.change = change_with_relays

    def silence(self, *groups):
        self.platform.silence(*(groups or EVERY_GROUP))

    def accepts(self, key, index):
        return self.session(key=key, index=index).greeting.startswith("READY")

    def each_instance(self, condition):
        return all(condition(index) for index in range(len(self.instances)))

    def assert_in_force(self, changed_at, condition, what):
        self.wait(lambda: self.each_instance(condition), what)
        self.assertLess(time.monotonic() - changed_at, IN_FORCE_S)

    def reads_at(self, server):
        """Reads at each instance. Returns how many of the statements the server ran."""
        before = len(server.ran)
        for index in range(len(self.instances)):
            session = self.session("bounded", index=index)
            for _ in range(STATEMENTS):
                self.run_until_done(session, "READ a")
        return len(server.ran) - before


class StoreTest(SilentConnectionsTest):
    def withdraw_key(self):
        self.platform.keys["kita"] = []
        self.platform.call(self.platform.publish)
        return time.monotonic()

    # Guards against a withdrawn key that stays in use, because the watch of the configuration waits
    # on a silent connection.
    def test_withdrawn_key_is_refused_although_store_connections_went_silent(self):
        self.silence("store")
        changed_at = self.withdraw_key()
        self.assert_in_force(changed_at, lambda index: not self.accepts("kita-key", index),
                             "refusal of the withdrawn key")

    # Guards against the same when the connections between the instances, which pass the
    # configuration on, go silent at the same moment.
    def test_withdrawn_key_is_refused_although_all_connections_went_silent(self):
        self.silence()
        changed_at = self.withdraw_key()
        self.assert_in_force(changed_at, lambda index: not self.accepts("kita-key", index),
                             "refusal of the withdrawn key")

    # Guards against a connection that is found silent only once: the next one can go silent too.
    def test_withdrawn_key_is_refused_after_a_second_silence(self):
        self.silence()
        time.sleep(CALM_S)
        self.silence()
        changed_at = self.withdraw_key()
        self.assert_in_force(changed_at, lambda index: not self.accepts("kita-key", index),
                             "refusal of the withdrawn key")

    # Guards against statements for a draining server, because the watch of the servers waits on a
    # silent connection.
    def test_draining_server_gets_no_statements_although_connections_went_silent(self):
        server = self.server("i-1")
        self.assertGreater(self.reads_at(server), 0)
        self.silence()
        self.platform.call(self.platform.register, server, "draining")
        time.sleep(IN_FORCE_S)
        self.assertEqual(self.reads_at(server), 0)

    # Guards against statements for an evacuated zone, because the watch of the evacuations waits on
    # a silent connection.
    def test_evacuated_zone_gets_no_statements_although_connections_went_silent(self):
        server = self.server("i-1")
        self.assertGreater(self.reads_at(server), 0)
        self.silence()
        self.platform.call(self.platform.store.put, "evacuations", "zone-b", {})
        time.sleep(IN_FORCE_S)
        self.assertEqual(self.reads_at(server), 0)


class PrimaryTest(SilentConnectionsTest):
    # Guards against a change of primary that waits on silent connections one after the other.
    def test_lost_primary_is_replaced_although_all_connections_went_silent(self):
        session = self.session("newest")
        self.run_until_done(session, "WRITE a one")
        self.silence()
        self.platform.call(self.server("i-0").crash)
        started = time.monotonic()
        self.run_until_done(session, "WRITE a two")
        self.assertLess(time.monotonic() - started, 6.0)


class StatementTest(SilentConnectionsTest):
    # Guards against an instance whose statements time out one after the other, each on another
    # silent connection.
    def test_statements_are_served_again_soon_after_connections_went_silent(self):
        for index in range(len(self.instances)):
            sessions = [self.session("own", index=index) for _ in range(4)]
            for session in sessions:
                session.start("READ a")
            for session in sessions:
                session.answer()
            for session in sessions:
                self.run_until_done(session, "READ a")
        self.silence("servers", "instances")
        silent_at = time.monotonic()
        sessions = [self.session("own", index=index) for index in range(len(self.instances))]

        def all_served():
            for session in sessions:
                session.start("READ a")
            return not any([session.answer().error for session in sessions])

        self.wait(all_served, "statements at all instances at once")
        self.assertLess(time.monotonic() - silent_at, IN_FORCE_S)
        for session in sessions:
            errors = [session.run("READ a").error for _ in range(STATEMENTS)]
            # BUSY is answered at once, without a wait for a server.
            self.assertLessEqual(set(errors), {None, "BUSY"})
            self.assertIn(None, errors)


if __name__ == "__main__":
    unittest.main()
