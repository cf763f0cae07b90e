"""Tests of the soak's judge. Each adds one violation to a valid history and guards against a judge
that does not report it, unless its comment says otherwise."""

import dataclasses
import unittest

import judge
from history import Entry, History, Run, Statement, Unanswered
from judge import RateLimit


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.history = History()
        self.write = Statement("1", 1, "acme", "newest", "WRITE a w-1", (("x", "1"),), None, 1.0,
                               1.1, None, (), "signed-i-0-1", 1)
        self.run = Run(1.05, "i-0", "zone-a", "1", "acme", ("WRITE", "a", "w-1"), "I",
                       (("x", "1"),))
        self.history.committed = [Entry("a", "w-1")]
        self.history.keys = {1: "acme-key"}
        self.add(self.write, self.run)

    def add(self, statement, run=None):
        self.history.add_statement(statement)
        self.history.answers.add((statement.signature, statement.rows))
        if run is not None:
            self.history.add_run(run)

    def read(self, started, row, database="newest", session=2):
        statement = Statement("2", session, "acme", database, "READ a", (), None, started,
                              started + 0.1, None, (row,), "signed-i-0-2", 2)
        run = Run(started, "i-0", "zone-a", "2", "acme", ("READ", "a"), "I", ())
        self.add(statement, run)

    def findings(self):
        limit = RateLimit(rate=100, burst=100)
        return judge.judge(self.history, {"acme": limit, "kita": limit})

    # Guards against findings in a history without violations.
    def test_good_history_has_no_findings(self):
        self.read(2.0, "w-1")
        self.assertEqual(self.findings(), [])

    def test_success_without_signature_is_found(self):
        self.history.statements[0] = dataclasses.replace(self.write, signature="signed-i-1-1")
        self.assertIn("signature", self.findings()[0])

    def test_statement_that_nobody_sent_is_found(self):
        self.history.add_run(dataclasses.replace(self.run, request="9"))
        self.assertIn("no caller sent it", self.findings()[0])

    def use_text(self, text, ran=None, shape=None):
        """The write has this text; the server ran `ran` if given."""
        statement = dataclasses.replace(self.write, text=text, shape=shape)
        self.history.statements[0] = statement
        self.history.runs[0] = dataclasses.replace(self.run, words=ran or statement.words)
        self.history.committed = [Entry("a", statement.data)]

    # Guards against findings for a text with every byte.
    def test_text_with_every_byte_has_no_findings(self):
        self.use_text("WRITE a w-1\nQUERY f1 WRITE b x\r \0\xff\r")
        self.read(2.0, "w-1\nQUERY f1 WRITE b x\r \0\xff\r")
        self.assertEqual(self.findings(), [])

    def test_text_that_is_cut_at_a_line_feed_is_found(self):
        self.use_text("WRITE a w-1\nb", ("WRITE", "a", "w-1"))
        self.assertIn("ran 'WRITE a w-1', not 'WRITE a w-1\\nb'", self.findings()[0])

    def test_text_without_its_last_blank_is_found(self):
        self.use_text("WRITE a w-1 ", ("WRITE", "a", "w-1"))
        self.assertIn("ran 'WRITE a w-1', not 'WRITE a w-1 '", self.findings()[0])

    def test_executed_text_that_is_cut_at_a_line_feed_is_found(self):
        self.use_text("EXECUTE s a w-1\nb", ("q", "a", "w-1"), shape="q")
        self.assertIn("ran 'q a w-1', not 'q a w-1\\nb'", self.findings()[0])

    def test_prepared_query_that_is_cut_at_a_line_feed_is_found(self):
        self.use_text("EXECUTE s a w-1", ("q", "a", "w-1"), shape="q\n1")
        self.assertIn("ran 'q a w-1', not 'q\\n1 a w-1'", self.findings()[0])

    def test_statement_inside_a_text_that_runs_is_found(self):
        self.use_text("WRITE a w-1\nQUERY f1 WRITE b x")
        self.history.add_run(dataclasses.replace(self.run, request="f1", words=("WRITE", "b", "x")))
        self.assertIn("request f1: no caller sent it: 'WRITE b x'", self.findings()[0])

    def test_executed_write_that_took_effect_twice_is_found(self):
        self.use_text("EXECUTE s a w-1\nb", shape="q")
        self.history.committed *= 2
        self.assertIn("write 'w-1\\nb': committed 2 times", self.findings()[0])

    def test_executed_write_after_a_no_effect_error_is_found(self):
        self.use_text("EXECUTE s a w-1\nb", shape="q")
        self.history.statements[0] = dataclasses.replace(self.history.statements[0], error="BUSY")
        self.assertIn("committed although answered BUSY", self.findings()[0])

    def test_acknowledged_write_of_which_a_part_is_in_the_log_is_found(self):
        self.use_text("WRITE a w-1\nb")
        self.history.committed = [Entry("a", "w-1")]
        self.assertIn("write 'w-1\\nb': acknowledged but not in the log", self.findings()[0])

    def test_row_that_is_cut_at_a_line_feed_is_found(self):
        self.use_text("WRITE a w-1\nb")
        self.read(2.0, "w-1\nb")
        self.history.statements[1] = dataclasses.replace(self.history.statements[1], rows=("w-1",))
        self.assertIn("request 2: rows that its server has not sent: 'w-1'", self.findings()[0])

    def test_row_of_another_request_is_found(self):
        self.read(2.0, "w-1")
        self.history.answers = {("signed-i-0-1", ()), ("signed-i-0-2", ("None",)),
                                ("signed-i-0-3", ("w-1",))}
        self.assertIn("request 2: rows that its server has not sent: 'w-1'", self.findings()[0])

    def test_row_that_nobody_has_written_is_found(self):
        self.read(2.0, "w-1\nDATAROW")
        self.assertIn("request 2: rows that nobody has written", self.findings()[0])

    # Guards against a finding for a row of a write whose answer has not arrived.
    def test_row_of_a_pending_write_is_allowed(self):
        self.history.expect("3", 3, "WRITE a w-2\nb")
        self.read(2.0, "w-2\nb")
        self.assertEqual(self.findings(), [])

    def test_answer_of_another_request_is_found(self):
        self.read(2.0, "w-1")
        read = self.history.statements[1]
        self.add(dataclasses.replace(read, request="3"), dataclasses.replace(
            self.history.runs[1], request="3"))
        self.assertIn("request 3: success without the signature of its server: 'signed-i-0-2'",
                      self.findings()[0])

    def test_stale_executed_read_is_found(self):
        self.read(2.0, "None")
        self.history.statements[1] = dataclasses.replace(
            self.history.statements[1], text="EXECUTE s a", shape="q")
        self.history.runs[1] = dataclasses.replace(self.history.runs[1], words=("q", "a"))
        self.assertIn("had to be visible", self.findings()[0])

    def test_statement_of_another_account_is_found(self):
        self.history.runs[0] = dataclasses.replace(self.run, account="kita")
        self.assertIn("ran for kita", self.findings()[0])

    def test_changed_text_is_found(self):
        self.history.runs[0] = dataclasses.replace(self.run, words=("WRITE", "a", "w-2"))
        self.assertIn("ran 'WRITE a w-2'", self.findings()[0])

    def test_values_of_another_session_are_found(self):
        self.history.runs[0] = dataclasses.replace(self.run, values=(("x", "2"),))
        self.assertIn("ran with values", self.findings()[0])

    def test_statement_outside_of_its_transaction_is_found(self):
        self.history.statements[0] = dataclasses.replace(self.write, in_transaction=True)
        self.assertTrue(any("ran outside" in finding for finding in self.findings()))

    def test_write_that_took_effect_twice_is_found(self):
        self.history.committed.append(Entry("a", "w-1"))
        self.assertIn("2 times", self.findings()[0])

    def test_committed_write_after_a_no_effect_error_is_found(self):
        self.history.statements[0] = dataclasses.replace(self.write, error="BUSY")
        self.assertIn("committed although answered BUSY", self.findings()[0])

    def test_committed_write_of_a_transaction_without_commit_is_found(self):
        self.history.statements[0] = dataclasses.replace(self.write, in_transaction=True)
        self.history.runs[0] = dataclasses.replace(self.run, state="T")
        self.assertIn("although its transaction was not", self.findings()[0])

    # Guards against a finding for a transaction whose commit is not answered yet. The judge gave
    # such a finding in the soak with seed 13.
    def test_transaction_with_an_open_commit_is_not_judged(self):
        self.history.statements[0] = dataclasses.replace(self.write, in_transaction=True)
        self.history.runs[0] = dataclasses.replace(self.run, state="T")
        self.history.expect("2", self.write.operation, "COMMIT")
        self.assertEqual(self.findings(), [])

    def test_lost_write_is_found(self):
        self.history.committed = []
        self.assertIn("acknowledged but not in the log", self.findings()[0])

    # Guards against a finding for an acknowledged write that a promotion rolled back.
    def test_rolled_back_write_is_allowed(self):
        self.history.committed = []
        self.history.rolled_back = {"w-1"}
        self.assertEqual(self.findings(), [])

    def test_stale_newest_read_is_found(self):
        self.read(2.0, "None")
        self.assertIn("had to be visible", self.findings()[0])

    def test_bounded_read_may_miss_a_young_write_only(self):
        self.read(2.0, "None", "bounded")
        self.read(3.0, "None", "own")
        self.assertEqual(self.findings(), [])
        self.read(4.0, "None", "bounded")
        self.assertIn("had to be visible", self.findings()[0])

    def test_read_without_the_sessions_own_write_is_found(self):
        self.read(2.0, "None", "own", session=1)
        self.assertIn("had to be visible", self.findings()[0])

    def test_repeated_fencing_token_is_found(self):
        self.history.fences = [4, 4]
        self.assertIn("fencing token 4 accepted after 4", self.findings()[0])

    def test_withdrawn_key_is_found(self):
        self.history.withdrawn = [(-5.0, "acme-key", "acme")]
        self.assertIn("withdrawn", self.findings()[0])

    def test_evacuated_zone_is_found(self):
        self.history.evacuations = [(-5.0, 9.0, "zone-a")]
        self.assertIn("evacuated zone", self.findings()[0])

    def test_excess_over_the_rate_is_found(self):
        for number in range(800):
            request = f"r{number}"
            self.add(dataclasses.replace(self.write, request=request, text="READ b", values=(),
                                         operation=number + 10, rows=("None",),
                                         signature=f"signed-i-0-{request}"),
                     dataclasses.replace(self.run, request=request, words=("READ", "b"),
                                         values=(), at=1.0 + number / 1000))
        self.assertIn("operations in", self.findings()[0])

    def test_instance_that_does_not_recover_is_found(self):
        self.history.recovered = {"instance-0": False}
        self.assertIn("answers no read or no write", self.findings()[0])

    def test_stop_beyond_its_grace_is_found(self):
        self.history.planned_stops = [("instance-0", 1.0, None)]
        self.assertIn("planned stop ended", self.findings()[0])

    def test_process_that_ends_without_an_order_is_found(self):
        self.history.own_ends = [("instance-0", -13)]
        self.assertIn("instance-0: ended by itself with status -13", self.findings()[0])

    def lose(self, request, ended):
        self.history.unanswered = [Unanswered(request, "instance-0", "WRITE a w-1", 1.0, ended)]

    def test_request_that_ran_without_a_whole_answer_is_found(self):
        self.lose("1", 1.1)
        self.assertIn("no whole answer from instance-0", self.findings()[0])

    def test_request_that_is_cut_off_after_a_wait_is_found(self):
        self.lose("9", 1.5)
        self.assertIn("no whole answer from instance-0", self.findings()[0])

    # Guards against a finding for a request that crossed the close of its idle session.
    def test_request_that_crossed_a_close_is_allowed(self):
        self.lose("9", 1.1)
        self.assertEqual(self.findings(), [])

    # Guards against a finding for a request at an instance that the soak killed.
    def test_request_at_a_killed_instance_is_allowed(self):
        self.lose("1", 1.1)
        self.history.kills = [("instance-0", 1.1)]
        self.assertEqual(self.findings(), [])

    def test_kill_of_another_instance_or_at_another_time_excuses_no_request(self):
        self.lose("1", 1.1)
        self.history.kills = [("instance-1", 1.1), ("instance-0", 3.0)]
        self.assertIn("no whole answer from instance-0", self.findings()[0])


if __name__ == "__main__":
    unittest.main()
