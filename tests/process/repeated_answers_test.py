"""Tests of oriolethread-platform with backend servers that send an answer a second time, at once or
late: no statement takes the answer to an earlier one for its own."""

import time
import unittest

from platform_fixtures import PlatformTest

REPEAT_DELAYS_S = (0.0, 0.01, 0.03, 0.06)
# Longer than some of the delays and shorter than others, so that a repeat arrives before the next
# statement, while it runs, or after it.
WORK_S = 0.02
ITEMS = 8
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class RepeatedAnswersTest(PlatformTest):
    instance_zones = ("zone-a",)

    def setUp(self):
        super().setUp()
        self.primary = self.server("i-0")
        for number in range(ITEMS):
            self.primary.append(f"item{number}", f"value{number}")

    def repeat(self, answers, delay_s):
        for server in self.platform.database.servers.values():
            server.work_s = WORK_S
            server.repeat_delay_s = delay_s
            server.repeated_answers = answers

    def repeat_next(self, delay_s):
        """Lets the primary send its next answer a second time."""
        self.primary.repeat_delay_s = delay_s
        self.primary.repeated_answers = 1

    def tearDown(self):
        # Guards against an answer that ends an instance, and with it all of its callers' sessions.
        for instance in self.instances:
            self.assertIsNone(instance.process.poll(), instance.log()[-2000:])

    def assert_own_answer(self, session, answer, rows):
        if answer.error is not None:
            return
        self.assertEqual(answer.rows, rows)
        self.assertIn(session.last_id, answer.signature)

    def assert_own_reads(self, database):
        for delay_s in REPEAT_DELAYS_S:
            session = self.session(database)
            self.run_until_done(session, "READ item0")
            self.repeat(2 * ITEMS, delay_s)
            for number in range(ITEMS):
                answer = session.run(f"READ item{number}")
                self.assert_own_answer(session, answer, [f"value{number}"])

    # Guards against a read that takes the repeated answer to an earlier read on its connection.
    def test_reads_of_the_primary_get_their_own_rows(self):
        self.assert_own_reads("newest")

    def test_reads_of_replicas_get_their_own_rows(self):
        self.assert_own_reads("bounded")

    # Guards against the same between the statements of a transaction, which stay on one connection
    # while the client pauses.
    def test_statements_of_a_transaction_get_their_own_answers(self):
        for delay_s in REPEAT_DELAYS_S:
            session = self.session("newest")
            session.run("BEGIN")
            self.run_until_done(session, "READ item0")
            self.repeat(2 * ITEMS, delay_s)
            for number in range(ITEMS):
                answer = session.run(f"READ item{number}")
                if answer.error is not None:
                    break
                self.assert_own_answer(session, answer, [f"value{number}"])
                time.sleep(WORK_S)
            session.close()

    # Guards against a commit that is said to have succeeded, or not to have run, by the repeated
    # answer to an earlier statement.
    def test_commits_get_their_own_answers(self):
        for number, delay_s in enumerate(REPEAT_DELAYS_S):
            session = self.session("newest")
            session.run("BEGIN")
            self.repeat(4, delay_s)
            self.assert_own_answer(session, session.run(f"WRITE mark commit{number}"), [])
            answer = session.run("COMMIT")
            self.assert_own_answer(session, answer, [])
            time.sleep(0.2)
            committed = f"commit{number}" in [data for _, _, data in self.primary.log]
            if answer.error is None:
                self.assertTrue(committed)
            if answer.error in PROMISES:
                self.assertFalse(committed)
            session.close()

    # Guards against an instance that ends when the repeated answer to a statement of a transaction
    # arrives while a write outside a transaction runs on the same connection.
    def test_write_answered_as_in_a_transaction_does_not_end_the_instance(self):
        session = self.session("newest")
        self.run_until_done(session, "READ item0")
        session.run("BEGIN")
        self.primary.work_s = 2.5 * WORK_S
        session.run("READ item0")
        self.repeat_next(4.5 * WORK_S)
        session.run("READ item1")
        session.run("ROLLBACK")
        time.sleep(3 * WORK_S)
        answer = session.run("WRITE mark once")
        self.assert_own_answer(session, answer, [])
        self.assertNotIn(answer.error, PROMISES)
        time.sleep(0.2)
        self.assertEqual([data for _, _, data in self.primary.log].count("once"), 1)


if __name__ == "__main__":
    unittest.main()
