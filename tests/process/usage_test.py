"""Audit entries and usage counts that oriolectl reports to operators."""

import json
import unittest

from fixtures import KEY, SiteTest
from oriole_site.http import get_row, put_row


class AuditTest(SiteTest):
    options = {"instances": 3, "zones": ["zone-a", "zone-b", "zone-c"]}

    def entries(self):
        return list(json.loads(self.site.oriolectl("audit", "--output", "json").stdout).values())

    # Guards against an operator's change without an audit entry, or with a wrong author or
    # generation in it.
    def test_operator_changes_have_audit_entries(self):
        changes = [
            ("key", "grant", "--name", "audited", "--account", "acme"),
            ("key", "withdraw", "audited"),
            ("zone", "out", "zone-c"),
            ("zone", "in", "zone-c"),
        ]
        for number, change in enumerate(changes):
            with self.subTest(change=change):
                before = self.site.head_generation()
                self.site.oriolectl(*change, "--author", f"author-{number}")
                found = [e for e in self.entries() if e["who"] == f"author-{number}"]
                self.assertEqual(len(found), 1, found)
                self.assertEqual((found[0]["from"], found[0]["to"]), (before, before + 1))
                self.assertEqual(found[0]["generation"], before + 1)
                self.assertTrue(found[0]["when"])
                self.assertTrue(found[0]["reason"])
        self.site.wait_in_force()

    # Guards against an automatic promotion without an audit entry.
    def test_promotion_has_audit_entry(self):
        lost = self.site.wait_for_primary(self.database)
        lost.process.kill()
        promoted = self.site.wait_for_primary(self.database, lost)
        name = f"database/{self.database.name}"

        def recorded():
            entries = [e for e in self.entries() if e.get("object") == name]
            return any(promoted.name in str(e["to"]) for e in entries)

        self.wait(recorded, "an audit entry of the promotion")


class UsageTest(SiteTest):
    options = {
        "instances": 2,
        "accounts": {"acme": (KEY, 100000, 100000), "other": ("other-key", 100000, 100000)},
    }

    def usage_of(self, account):
        """The account's requests by service, summed over all usage records."""
        records = json.loads(self.site.oriolectl("usage", "--output", "json").stdout)
        counts = {}
        for record in records.values():
            for total in record["totals"]:
                if total["account"] == account:
                    service = total["service"]
                    counts[service] = counts.get(service, 0) + total["requests"]
        return counts

    # Guards against requests that are not counted or counted twice, and against counts not stored
    # before a planned stop ends the instance. Refused requests are not counted.
    def test_counts_equal_done_requests_after_planned_stops(self):
        for key, writes, reads in ((KEY, 7, 30), ("other-key", 3, 11)):
            for index in range(2):
                caller = self.caller(index, key=key)
                for n in range(writes):
                    answer = caller.run(self.service("write"), put_row(f"{key}-{n}", "x"))
                    self.assert_answer(answer, 200, "done")
                for n in range(reads):
                    answer = caller.run(self.service("read"), get_row(f"{key}-{n}"))
                    self.assert_answer(answer, 200, "done")
                refused = caller.run("no-such-service", get_row("r"))
                self.assertEqual(refused.outcome, "not-run")
                caller.close()
        for instance in self.site.instances:
            self.assertEqual(instance.process.stop(), 0)
        write, read = self.service("write"), self.service("read")
        self.assertEqual(self.usage_of("acme"), {write: 14, read: 60})
        self.assertEqual(self.usage_of("other"), {write: 6, read: 22})


if __name__ == "__main__":
    unittest.main()
