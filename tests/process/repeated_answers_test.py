"""Tests of oriolethread-platform with backend servers that send an answer a second time, at once or
late: no statement takes the answer to an earlier one for its own."""

import threading
import time
import unittest

from platform_fixtures import PlatformTest

REPEAT_DELAYS_S = (0.0, 0.01, 0.03, 0.06)
# Longer than some of the delays and shorter than others, so that a repeat arrives before the next
# statement, while it runs, or after it.
WORK_S = 0.02
ITEMS = 8
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


CALLERS = 8
STATEMENTS = 12
# Another state or position than the answer had, in which its repetition arrives; empty for the same.
REPEATED_STATES = ("", "I", "T", "E")
REPEATED_POSITIONS = ("", "-", "9.999")


class RepeatingServersTest(PlatformTest):
    """Fixture of the tests in this file."""

    def setUp(self):
        super().setUp()
        self.primary = self.server("i-0")
        self.repeating = list(self.platform.database.servers.values())
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


class RepeatedAnswersTest(RepeatingServersTest):
    instance_zones = ("zone-a",)

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
            self.repeat(0, delay_s)
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

    # Guards against a write that is committed twice: the repetition of the BUSY that an earlier caller
    # got on the connection was taken for its answer, and it was run again.
    def test_write_behind_a_repeated_refusal_runs_once(self):
        first, second = self.session("newest"), self.session("newest")
        self.run_until_done(first, "READ item0")
        self.primary.work_s = WORK_S
        self.primary.repeated_word = "ERROR"
        for number in range(ITEMS):
            self.repeat_next(0.3 * WORK_S)
            self.primary.busy_answers = 1
            first.send(f"QUERY {number + 1:x}f WRITE mark first{number}")
            while self.primary.busy_answers > 0:
                time.sleep(0.0002)
            answer = second.run(f"WRITE mark second{number}")
            first.answer()
            time.sleep(0.1)
            committed = [data for _, _, data in self.primary.log].count(f"second{number}")
            self.assertLessEqual(committed, 1)
            if answer.error is None or answer.error in PROMISES:
                self.assertEqual(committed, int(answer.error is None), answer)


class RepeatedAnswersToManyCallersTest(RepeatingServersTest):
    """Callers of two instances write, read and commit at once, while servers repeat answers."""

    rate = 100000
    burst = 100000

    def write(self, session, mark):
        """Writes the mark, by itself, prepared, or in a transaction. Returns the error, if any, and
        whether a commit or write was sent."""
        kind = int(mark.rpartition("-")[2]) % 3
        if kind == 0:
            return session.run(f"WRITE mark {mark}").error, True
        if kind == 1:
            session.run(f"SET caller {mark}")
            session.run("PREPARE put WRITE mark")
            return session.run(f"EXECUTE put {mark}").error, True
        session.run("BEGIN")
        error = session.run(f"WRITE mark {mark}").error
        if error is not None:
            session.run("ROLLBACK")
            return error, False
        return session.run("COMMIT").error, True

    def run_caller(self, caller):
        """Alternates writes and reads; records what was answered."""
        session = self.session("newest", index=caller % 2)
        for number in range(STATEMENTS):
            mark = f"mark-{self.round}-{caller}-{number}"
            self.answers[mark] = self.write(session, mark)
            answer = session.run(f"READ item{number % ITEMS}")
            if answer.error is None:
                self.reads.append((answer, session.last_id, f"value{number % ITEMS}"))

    def run_callers(self, before_each=lambda: None):
        """Lets the callers run, then compares what they were answered with the primary's log."""
        self.round = getattr(self, "round", 0) + 1
        self.answers, self.reads = {}, []
        failures = []

        def run(caller):
            try:
                self.run_caller(caller)
            except (OSError, ValueError) as error:
                failures.append(repr(error))

        threads = [threading.Thread(target=run, args=(caller,)) for caller in range(CALLERS)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            before_each()
            time.sleep(WORK_S / 4)
        for thread in threads:
            thread.join()
        time.sleep(0.2)
        self.assertEqual(failures, [])
        self.assert_answers_are_true()

    def assert_answers_are_true(self):
        committed = [data for _, _, data in self.primary.log]
        for mark, (error, _) in self.answers.items():
            self.assertLessEqual(committed.count(mark), 1, mark)
            if error is None:
                self.assertEqual(committed.count(mark), 1, mark)
            if error in PROMISES:
                self.assertEqual(committed.count(mark), 0, (mark, error))
        for answer, request, value in self.reads:
            self.assertEqual(answer.rows, [value])
            self.assertIn(request, answer.signature)
        self.assertGreater(len([error for error, _ in self.answers.values() if error is None]), 0)

    def repeat_each(self, word, delay_s, share):
        """Lets the servers repeat about `share` answers at a time that begin with the word."""
        for server in self.repeating:
            server.work_s = WORK_S / 4
            server.repeated_word = word
            server.repeat_delay_s = delay_s
            server.repeated_answers = share

    # Guards against a write that is committed twice: the late repetition of an earlier BUSY was taken
    # for its answer, and it was run again.
    def test_writes_beside_repeated_refusals_run_once(self):
        for delay_s in (0.0, 0.006, 0.045):
            def refuse():
                self.repeat_each("ERROR", delay_s, 2)
                self.primary.work_s = WORK_S
                self.primary.busy_answers = 1
            self.run_callers(refuse)

    # Guards against the greeting of a connection that is taken for the answer to its first command.
    def test_statements_beside_repeated_greetings_get_their_own_answers(self):
        for delay_s in (0.0, 0.006):
            def close_connections():
                self.repeat_each("READY", delay_s, 4)
                self.primary.busy_answers = 1
            self.run_callers(close_connections)

    # Guards against an instance that ends, and against answers taken for others, when repetitions
    # have a state or position in which their answer cannot have been.
    def test_statements_beside_repetitions_in_other_states_get_their_own_answers(self):
        for number, state in enumerate(REPEATED_STATES):
            for server in self.repeating:
                server.repeat_state = state
                server.repeat_position = REPEATED_POSITIONS[number % len(REPEATED_POSITIONS)]
            self.run_callers(lambda: self.repeat_each("", 0.01, 1))
        self.repeat_each("", 0.0, 0)
        self.run_until_done(self.session("newest"), "READ item0")

    # Guards against a repetition that reaches a later caller, long after its answer.
    def test_statements_beside_late_repetitions_get_their_own_answers(self):
        for delay_s in (0.1, 0.5):
            self.run_callers(lambda: self.repeat_each("", delay_s, 1))


if __name__ == "__main__":
    unittest.main()
