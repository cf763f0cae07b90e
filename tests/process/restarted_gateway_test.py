"""Tests of oriolethread-platform when a gateway is killed and starts again while it holds
transactions of the zone's other instance."""

import time
import unittest

from platform_fixtures import PlatformTest

# The pause of a caller inside its transaction, shorter than tx_idle_ms of the stand-in.
PAUSE_S = 0.5
CALLERS = 4


class RestartedGatewayTest(PlatformTest):
    instance_zones = ("zone-a", "zone-a")

    def begin(self, key, index, prefix):
        sessions = [self.session("newest", key=key, index=index) for _ in range(CALLERS)]
        for number, session in enumerate(sessions):
            self.assertIsNone(session.run("BEGIN").error)
            self.assertIsNone(session.run(f"WRITE {prefix}{number} first").error)
        return sessions

    def restart_while_transactions_are_open(self, killed):
        """Callers of the other instance begin transactions before and after `killed` restarts.
        Returns the server connections' accounts by the item written in their transaction."""
        other = 1 - killed
        before = self.begin("acme-key", other, f"early{killed}")
        self.instances[killed].stop()
        self.instances[killed].start()
        self.wait(self.instances[killed].ready, "readiness of the restarted gateway")
        time.sleep(PAUSE_S)
        after = self.begin("kita-key", other, f"late{killed}")
        for session in before:
            session.run("WRITE stray second")
            session.run("COMMIT")
        for number, session in enumerate(after):
            self.assertIsNone(session.run(f"WRITE late{killed}{number} second").error)
            self.assertIsNone(session.run("COMMIT").error)

    # Guards against statements and a COMMIT of one session that run in the transaction of another,
    # of another account too, because a gateway numbers its transactions anew after a restart.
    def test_statements_of_earlier_transactions_do_not_run_in_later_ones(self):
        for killed in range(len(self.instances)):
            self.restart_while_transactions_are_open(killed)
        for _, (_, account, words, _, _) in self.platform.runs():
            if words[0] == "stray" or (len(words) > 1 and words[1] == "stray"):
                self.assertEqual(account, "acme")
        reader = self.session("newest")
        for killed in range(len(self.instances)):
            for number in range(CALLERS):
                self.assertEqual(reader.run(f"READ late{killed}{number}").rows, ["second"])


if __name__ == "__main__":
    unittest.main()
