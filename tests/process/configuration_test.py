"""Changes of configuration, keys and zones while the instances run."""

import json
import unittest

from fixtures import SiteTest
from oriole_site.http import fetch_json, get_row


class ConfigurationTest(SiteTest):
    options = {
        "instances": 2,
        "zones": ["zone-a", "zone-b", "zone-c"],
    }

    def read_status(self, caller):
        try:
            return caller.run(self.service("read"), get_row("r")).status
        except OSError:
            return None  # the instance closed the connection

    # Guards against a request that runs with a key that was never granted.
    def test_unknown_key_is_refused(self):
        answer = self.caller(key="no-such-key").run(self.service("read"), get_row("r"))
        self.assert_answer(answer, 401, "not-run")

    # Guards against a withdrawn key that is still accepted on a connection opened before the
    # withdrawal, or by one of the instances.
    def test_withdrawn_key_stops_everywhere(self):
        granted = self.site.oriolectl(
            "key", "grant", "--name", "guest", "--account", "acme", "--author", "test",
            "--output", "json",
        )
        key = json.loads(granted.stdout)["key"]
        self.site.wait_in_force()
        callers = [self.caller(index, key=key) for index in range(2)]
        for caller in callers:
            self.assertEqual(self.read_status(caller), 200)
        self.site.oriolectl("key", "withdraw", "guest", "--author", "test")
        self.site.wait_in_force()
        for caller in callers:
            self.wait(lambda c=caller: self.read_status(c) == 401, "refusal of the withdrawn key")

    # Guards against a key being written in clear text to a log of an instance or backend server or
    # to the objects stored on the platform.
    def test_key_text_appears_nowhere(self):
        granted = self.site.oriolectl(
            "key", "grant", "--name", "secret", "--account", "acme", "--author", "test",
            "--output", "json",
        )
        key = json.loads(granted.stdout)["key"]
        self.site.wait_in_force()
        self.assertEqual(self.read_status(self.caller(key=key)), 200)
        texts = [instance_log(i) for i in self.site.instances]
        for item in fetch_json(self.site.platform_port, "/v1/objects?prefix="):
            texts.append(json.dumps(fetch_json(self.site.platform_port, f"/v1/objects/{item['path']}")))
        for server in self.database.servers:
            texts.append(instance_log(server))
        for text in texts:
            self.assertNotIn(key, text)

    # Guards against a primary that stays in a zone after the zone was taken out of service, and
    # against writes that fail while the zone is out or after its return.
    def test_zone_out_moves_primary_and_returns(self):
        primary = self.site.wait_for_primary(self.database)
        self.site.oriolectl("zone", "out", primary.zone, "--author", "test")
        self.site.wait_in_force()
        moved = self.site.wait_for_primary(self.database, primary)
        self.assertNotEqual(moved.zone, primary.zone)
        self.write(self.caller(), "zone", "out")
        self.site.oriolectl("zone", "in", primary.zone, "--author", "test")
        self.site.wait_in_force()
        self.write(self.caller(), "zone", "in")

    # Guards against accepting a change that leaves a database without a majority of its backend
    # servers: two of three zones out of service.
    def test_second_zone_out_is_refused(self):
        self.site.oriolectl("zone", "out", "zone-a", "--author", "test")
        refused = self.site.oriolectl("zone", "out", "zone-b", "--author", "test", check=False)
        self.assertEqual(refused.returncode, 1, refused.stdout + refused.stderr)
        self.site.oriolectl("zone", "in", "zone-a", "--author", "test")

    # Guards against a change that is published twice because the platform's answer to its first
    # publication was lost.
    def test_lost_answers_of_platform_publish_once(self):
        self.site.wait_in_force()
        before = self.site.head_generation()
        self.site.set_platform_faults(lost_answer_share=0.3, seed=7)
        done = self.site.oriolectl(
            "key", "grant", "--name", "lossy", "--account", "acme", "--author", "test", check=False
        )
        self.site.set_platform_faults(lost_answer_share=0.0)
        after = self.site.head_generation()
        self.assertEqual(after - before, 1 if done.returncode == 0 else after - before)
        self.assertLessEqual(after - before, 1)

    # Guards against an instance that refuses requests because the platform is unreachable.
    def test_platform_outage_does_not_stop_service(self):
        self.site.set_platform_faults(down=True)
        caller = self.caller()
        self.write(caller, "outage", "x")
        self.assertEqual(self.read_status(caller), 200)
        self.site.set_platform_faults(down=False)


def instance_log(owner):
    with open(owner.process.log_path, encoding="utf-8", errors="replace") as log:
        return log.read()


if __name__ == "__main__":
    unittest.main()
