"""Tests of oriolethread-platform with texts, rows and names in which every byte but CR LF stands: a
message ends at CR LF only."""

import unittest

from platform_fixtures import PlatformTest

# Every byte, without the pair CR LF that ends a message.
EVERY_BYTE = "".join(chr(byte) for byte in reversed(range(256)))
SECOND_STATEMENT = "QUERY f2ae24fb32d0aca0 WRITE other smuggled"
FALSE_ANSWER = "COMPLETE signed-i-9-ff\nREADY I 1.1"


class MessageTextTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.caller = self.session("newest")
        self.run_until_done(self.caller, "READ a")

    def words_run(self, request):
        return [run[2] for _, run in self.platform.runs() if run[0] == request]


class StatementTextTest(MessageTextTest):
    # Guards against a text that is cut at a line feed, so that the server runs another statement than
    # the caller sent.
    def test_write_with_a_line_feed_runs_unchanged(self):
        answer = self.caller.run("WRITE a qehgkiwh\nvzdab")
        self.assertIsNone(answer.error)
        self.assertEqual(self.words_run(self.caller.last_id),
                         [["WRITE", "a", "qehgkiwh\nvzdab"]])

    # Guards against a line of a text that the server runs as a statement of its own.
    def test_statement_inside_a_text_does_not_run(self):
        self.caller.run(f"WRITE a mgvz\n{SECOND_STATEMENT}")
        self.run_until_done(self.caller, "READ a")
        self.assertEqual(self.words_run("f2ae24fb32d0aca0"), [])

    # Guards against a row that is cut at a line feed, or in which a line is taken for the end of the
    # answer.
    def test_answer_inside_a_row_is_part_of_the_row(self):
        data = f"before\n{FALSE_ANSWER}\nDATAROW after"
        self.server("i-0").append("a", data)
        answer = self.caller.run("READ a")
        self.assertEqual(answer.rows, [data])
        self.assertEqual(answer.signature, f"signed-i-0-{self.caller.last_id}")

    # Guards against bytes that are changed or end a message.
    def test_every_byte_reaches_the_server_and_comes_back(self):
        self.assertIsNone(self.caller.run(f"WRITE a {EVERY_BYTE}").error)
        self.assertEqual(self.words_run(self.caller.last_id), [["WRITE", "a", EVERY_BYTE]])
        self.assertEqual(self.caller.run("READ a").rows, [EVERY_BYTE])

    # Guards against a carriage return before the end of the message that is taken for a part of it.
    def test_text_that_ends_in_a_carriage_return_keeps_it(self):
        self.assertIsNone(self.caller.run("WRITE a end\r").error)
        self.assertEqual(self.caller.run("READ a").rows, ["end\r"])

    # Guards against a long text that is lost on its way to a gateway, and a write that is in doubt.
    def test_long_text_is_written_through_each_instance(self):
        text = EVERY_BYTE * 1500
        for index in range(len(self.instances)):
            caller = self.session("newest", index=index)
            self.assertIsNone(caller.run(f"WRITE a {text}").error)
            self.assertEqual(self.words_run(caller.last_id), [["WRITE", "a", text]])


if __name__ == "__main__":
    unittest.main()
