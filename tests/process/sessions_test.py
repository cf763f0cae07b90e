"""Session consistency across instances (read-your-writes) and idempotent request ids."""

import unittest

from fixtures import SiteTest
from oriole_site.http import get_row, put_row

ROUNDS = 40


class SessionTest(SiteTest):
    options = {"instances": 3, "lag_ms": "50:200"}

    # Guards against a read that misses its session's own write, because a replica answers before it
    # has applied the write.
    def test_read_at_another_instance_contains_the_write(self):
        for number in range(ROUNDS):
            writer = self.caller(number % 3)
            self.write(writer, "mark", str(number))
            reader = self.caller((number + 1) % 3, session=writer.session)
            answer = reader.run(self.service("read"), get_row("mark"))
            self.assert_answer(answer, 200, "done")
            self.assertEqual(answer.body["results"][0]["value"], str(number))

    # Guards against a read that returns older data when no backend server has reached the log
    # position in its session token.
    def test_position_that_never_existed_is_refused_truthfully(self):
        reader = self.caller(session="1;db-1:1.999999")
        answer = reader.run(self.service("read"), get_row("mark"))
        self.assertIn(answer.status, (409, 503))
        self.assertEqual(answer.outcome, "not-run")

    # Guards against a write that runs twice when its caller retries it at another instance with the
    # same request id.
    def test_repeated_request_id_runs_once(self):
        add = {"op": "add", "row": "meals", "amount": 1}
        first = self.caller(0).run(self.service("write"), add, request_id="meal-1")
        again = self.caller(1).run(self.service("write"), add, request_id="meal-1")
        self.assert_answer(first, 200, "done")
        self.assert_answer(again, 200, "done")
        self.assertEqual(first.body["results"], again.body["results"])

    # Guards against an outcome lookup that misses a request which ran through another instance.
    def test_lookup_of_done_request_finds_its_results(self):
        done = self.caller(0).run(self.service("write"), put_row("note", "x"), request_id="note-1")
        self.assert_answer(done, 200, "done")
        found = self.caller(2).get(f"/v1/services/{self.service('write')}/outcomes/note-1")
        self.assert_answer(found, 200, "done")
        self.assertEqual(found.body["results"], done.body["results"])

    # Guards against an outcome lookup that answers "not-run" for an id without a record, although
    # the request may still arrive and run.
    def test_lookup_of_unrecorded_request_is_unknown(self):
        found = self.caller(0).get(f"/v1/services/{self.service('write')}/outcomes/never-sent")
        self.assert_answer(found, 404, "unknown")

    # Guards against a request that runs although its id was cancelled before it arrived.
    def test_cancelled_request_does_not_run_later(self):
        path = f"/v1/services/{self.service('write')}/outcomes/late-1"
        self.assert_answer(self.caller(0).post(path), 409, "not-run")
        late = self.caller(1).run(self.service("write"), put_row("late", "x"), request_id="late-1")
        self.assert_answer(late, 409, "not-run")
        answer = self.caller(2).run(self.service("write"), get_row("late"))
        self.assertIsNone(answer.body["results"][0]["value"])


if __name__ == "__main__":
    unittest.main()
