"""Tests of a platform that comes back from an older copy, which lacks configurations that are
already in force."""

import json
import unittest

from fixtures import SiteTest
from oriole_site.http import get_row


class PlatformRestoreTest(SiteTest):
    options = {
        "instances": 2,
        "zones": ["zone-a", "zone-b", "zone-c"],
    }

    def grant_key(self, name):
        granted = self.site.oriolectl("key", "grant", "--name", name, "--account", "acme",
                                      "--author", "test", "--output", "json")
        return json.loads(granted.stdout)["key"]

    def accepts(self, index, key):
        answer = self.caller(index, key=key).run(self.service("read"), get_row("r"))
        return answer.status == 200

    def lose_two_generations(self):
        """Restores the platform from a copy that lacks two generations that are in force."""
        older_copy = self.site.copy_of_platform()
        for name in ("lost", "lost-too"):
            self.grant_key(name)
            self.site.wait_in_force()
        self.site.restore_platform(older_copy)
        self.wait(lambda: len(self.site.listed_instances()) == len(self.site.instances),
                  "the instances in the platform's list")

    # Guards against an accepted configuration that no instance uses, because its generation number
    # was given out before the restore.
    def test_configuration_applied_after_a_restore_comes_into_force(self):
        self.lose_two_generations()
        key = self.grant_key("new")
        for index in range(len(self.site.instances)):
            self.wait(lambda index=index: self.accepts(index, key), f"the key at instance {index}")


if __name__ == "__main__":
    unittest.main()
