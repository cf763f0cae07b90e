"""Tests of oriolethread-platform when another program has left an entry in the store that cannot be
read, among the entries of each kind."""

import time
import unittest

from platform_fixtures import PlatformTest
from users_platform import RawJson

# As CONTRIBUTING.md: a change is in force everywhere within this time.
IN_FORCE_S = 4.0
NESTING = 400_000
KINDS = ("servers", "config", "evacuations", "oriole-instances", "oriole-promotions")
RAW_VALUES = {
    "deep_array": b"[" * NESTING + b"]" * NESTING,
    "deep_object": b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    "large_number": b"1e999",
    "large_integer": b"9" * 400,
    "bytes_that_are_not_utf_8": b'"\xff\xfe\x80"',
    "half_of_a_surrogate_pair": b'"\\ud800"',
    "control_character": b'"\x01"',
    "null": b"null",
}
# What may stand in a field of a server's entry, which is otherwise valid.
SERVER_FIELDS = {
    "address": (b'"127.0.0.1:99999"', b'"127.0.0.1:-1"', b'"127.0.0.1"', b"7", b'""'),
    "service": (b'"db\\r\\nQUERY - ROLLBACK"', b'""', b"[]"),
    "seq": (b"1e300", b"1e999", b"-1", b"99999999999999999999999", b'"1"'),
    "born": (b"1e300", b"1e999", b"99999999999999999999999", b"null"),
    "cold_remaining_ms": (b"1e300", b"1e999", b"99999999999999999999999"),
    "slots": (b"1e999", b"-1"),
    "zone": (b"1e999", b'"\xff"', b"{}"),
    "state": (b'"gone"', b"1"),
    "db_role": (b'"both"', b"null"),
    "extra": (b"[" * NESTING + b"]" * NESTING,),
}


class OddEntriesTest(PlatformTest):
    def put(self, kind, name, text):
        self.platform.call(self.platform.store.put, kind, name, RawJson(text))

    def put_odd_entries(self):
        for kind in KINDS:
            for name, text in RAW_VALUES.items():
                self.put(kind, f"odd-{name}", text)

    def put_odd_servers(self):
        valid = dict(self.platform.store.objects["servers"]["i-1"]["spec"], address="127.0.0.1:9")
        number = 0
        for field, texts in SERVER_FIELDS.items():
            for text in texts:
                number += 1
                spec = dict(valid, **{field: RawJson(text)})
                self.platform.call(self.platform.store.put, "servers", f"odd-{number}", spec)

    def accepts(self, key, index):
        return self.session(key=key, index=index).greeting.startswith("READY")

    def assert_changes_come_into_force(self):
        """Withdraws a key and lets a server drain; both have to be in force at each instance."""
        self.platform.keys["kita"] = []
        self.platform.call(self.platform.publish)
        self.platform.call(self.platform.register, self.server("i-1"), "draining")
        changed_at = time.monotonic()
        for index in range(len(self.instances)):
            self.wait(lambda index=index: not self.accepts("kita-key", index),
                      "refusal of the withdrawn key")
        self.assertLess(time.monotonic() - changed_at, IN_FORCE_S)
        time.sleep(max(changed_at + IN_FORCE_S - time.monotonic(), 0))
        before = len(self.server("i-1").ran)
        for index in range(len(self.instances)):
            for _ in range(20):
                self.run_until_done(self.session("bounded", index=index), "READ a")
        self.assertEqual(len(self.server("i-1").ran), before)

    def assert_all_run(self):
        for instance in self.instances:
            self.assertIsNone(instance.process.poll(), instance.log()[-2000:])

    # Guards against an instance that ends, or that stops following the store, when an odd entry
    # arrives as a change.
    def test_changes_come_into_force_after_an_odd_entry_arrived(self):
        self.put_odd_entries()
        self.assert_changes_come_into_force()
        self.assert_all_run()

    # Guards against a server's entry with one invalid field that ends an instance, or is used.
    def test_changes_come_into_force_after_an_odd_server_arrived(self):
        self.put_odd_servers()
        self.assert_changes_come_into_force()
        self.assert_all_run()

    # Guards against an instance that ends, or does not become ready, when its first list contains
    # an odd entry.
    def test_started_instance_serves_although_odd_entries_are_listed(self):
        self.put_odd_entries()
        self.put_odd_servers()
        self.start_instance("zone-c")
        self.run_until_done(self.session("newest", index=2), "WRITE a one")
        self.assert_changes_come_into_force()
        self.assert_all_run()

    # Guards against an instance that stops following the store when its own entry, or that of a
    # server in use, is overwritten by another program.
    def test_changes_come_into_force_after_entries_in_use_were_overwritten(self):
        for name in ("instance-0", "instance-1"):
            self.put("oriole-instances", name, RAW_VALUES["deep_array"])
        self.put("servers", "i-2", RAW_VALUES["bytes_that_are_not_utf_8"])
        self.put("config", "other", RAW_VALUES["large_number"])
        self.assert_changes_come_into_force()
        self.assert_all_run()

    # Guards against an account whose name ends a field or a message to the servers, and against one
    # such name that keeps the rest of the configuration from coming into force.
    def test_changes_come_into_force_beside_accounts_with_unusable_names(self):
        names = ("two words", "kita\r\nQUERY - RESET", "")
        for number, name in enumerate(names):
            self.platform.keys[name] = [f"odd-key-{number}"]
        self.assert_changes_come_into_force()
        for index in range(len(self.instances)):
            for number in range(len(names)):
                greeting = self.session(key=f"odd-key-{number}", index=index).greeting
                self.assertTrue(greeting.startswith("ERROR DENIED"), greeting)
        self.assert_all_run()

    # Guards against a change of primary that fails because the order in the store cannot be read.
    def test_lost_primary_is_replaced_although_its_order_was_overwritten(self):
        session = self.session("newest")
        self.run_until_done(session, "WRITE a one")
        self.put("oriole-promotions", "db", RAW_VALUES["large_number"])
        self.platform.call(self.server("i-0").crash)
        self.run_until_done(session, "WRITE a two")
        self.assert_all_run()


if __name__ == "__main__":
    unittest.main()
