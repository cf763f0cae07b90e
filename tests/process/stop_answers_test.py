"""Tests of the answers to statements that are still running when the grace period of a planned stop
ends."""

import socket
import threading
import time
import unittest

from platform_fixtures import STOP_GRACE_S, PlatformTest

# Longer than the grace period.
LONG_WORK_S = 3.0 * STOP_GRACE_S
LONG_TIMEOUT_MS = 20000
# An answer that ends a statement earlier than this before the end of the grace period is too early.
ANSWER_MARGIN_S = 1.0
# Servers may take this long from SIGTERM on without a statement that is cut off.
ALLOWED_WORK_S = STOP_GRACE_S - ANSWER_MARGIN_S


class PendingStatement:
    """A statement that a thread sends and whose answer it waits for."""

    def __init__(self, session, text):
        self.session = session
        self.outcome = None
        self.ended_at = None
        self.thread = threading.Thread(target=self.run, args=(text,))
        self.thread.start()

    def run(self, text):
        try:
            answer = self.session.run(text)
            self.outcome = answer.error or "OK"
        except OSError:
            self.outcome = "no answer"
        self.ended_at = time.monotonic()

    def result(self):
        self.thread.join()
        return self.outcome


class StoppingInstanceTest(PlatformTest):
    latency_target_ms = 800

    def setUp(self):
        super().setUp()
        # The servers take so long that the primary seems to be lost.
        self.platform.refuses_promotions = True
        self.platform.statement_timeout_ms = LONG_TIMEOUT_MS
        self.platform.latency_target_ms = self.latency_target_ms
        self.platform.call(self.platform.publish)
        in_force = f"event=configuration version={self.platform.version} "
        for index, instance in enumerate(self.instances):
            self.wait(lambda log=instance.log: in_force in log(), "the configuration's log line")
            self.run_until_done(self.session(index=index), "WRITE a zero")

    def opened(self, index, *texts):
        session = self.session(index=index)
        for text in texts:
            self.assertIsNone(session.run(text).error)
        return session

    def set_work(self, work_s):
        for server in self.platform.database.servers.values():
            server.work_s = work_s

    def stop_instance(self, index):
        """Returns when SIGTERM was sent. Fails unless the instance ends within the grace period."""
        stopped_at = time.monotonic()
        self.instances[index].terminate()
        self.assertEqual(self.instances[index].process.wait(timeout=STOP_GRACE_S + 2), 0)
        self.assertLess(time.monotonic() - stopped_at, STOP_GRACE_S)
        return stopped_at


class StopAnswersTest(StoppingInstanceTest):
    # Both in one zone, so that one of them runs the statements of both.
    instance_zones = ("zone-a", "zone-a")

    def start_statements(self, index):
        """Starts a statement of each kind, all of which the servers are still running."""
        read, write = self.opened(index), self.opened(index)
        in_transaction = self.opened(index, "BEGIN", "WRITE b one")
        commit = self.opened(index, "BEGIN", "WRITE c one")
        commit_of_reads = self.opened(index, "BEGIN", "READ a")
        self.set_work(LONG_WORK_S)
        pending = {"read": PendingStatement(read, "READ a"),
                   "write": PendingStatement(write, "WRITE a one"),
                   "transaction": PendingStatement(in_transaction, "READ a"),
                   "commit": PendingStatement(commit, "COMMIT"),
                   "commit of reads": PendingStatement(commit_of_reads, "COMMIT")}
        time.sleep(0.3)
        return pending

    # Guards against statements that get no answer because the grace period ends before their servers
    # answer, and against an answer that promises too much, too little or comes too early.
    def test_unfinished_statements_are_answered_at_the_end_of_the_grace_period(self):
        pending = self.start_statements(index=0)
        stopped_at = self.stop_instance(index=0)
        outcomes = {name: statement.result() for name, statement in pending.items()}
        self.assertEqual(outcomes, {"read": "ABORTED", "write": "INDOUBT",
                                    "transaction": "ABORTED", "commit": "INDOUBT",
                                    "commit of reads": "ABORTED"})
        for name, statement in pending.items():
            self.assertGreater(statement.ended_at - stopped_at, STOP_GRACE_S - ANSWER_MARGIN_S,
                               name)
        for statement in pending.values():
            request = statement.session.last_id
            self.assertIn(f"request={request} ", self.instances[0].log())

    def check_statements_of_the_other_instance(self, stopped, other):
        pending = self.start_statements(index=other)
        self.stop_instance(stopped)
        outcomes = {name: statement.result() for name, statement in pending.items()}
        self.assertNotIn("no answer", outcomes.values())
        # The servers may have run both.
        self.assertIn(outcomes["write"], ("INDOUBT", "TIMEOUT", "OK"))
        self.assertIn(outcomes["commit"], ("INDOUBT", "TIMEOUT", "OK"))

    # Guards against statements that get no answer, or one that promises too much, when the gateway
    # that runs them for another instance ends. One of the two instances is the gateway.
    def test_statements_of_the_first_instance_are_answered_when_the_second_ends(self):
        self.check_statements_of_the_other_instance(stopped=1, other=0)

    def test_statements_of_the_second_instance_are_answered_when_the_first_ends(self):
        self.check_statements_of_the_other_instance(stopped=0, other=1)

    # Guards against an answer that is given although the server's own would come in time.
    def test_statements_that_end_in_time_get_their_own_answer(self):
        session = self.opened(0)
        self.set_work(ALLOWED_WORK_S)
        pending = PendingStatement(session, "WRITE a one")
        self.stop_instance(index=0)
        self.assertEqual(pending.result(), "OK")


class WaitingStatementsTest(StoppingInstanceTest):
    """More statements than the instance may hold connections to a server."""

    instance_zones = ("zone-a",)
    latency_target_ms = 4 * LONG_TIMEOUT_MS  # so that they wait for a connection all the time
    WRITES = 20  # The instance may hold 16 connections to a server.

    # Guards against writes that wait for a connection to their server when the grace period ends, and
    # are told that they may have run.
    def test_writes_that_were_not_sent_are_refused_at_the_end_of_the_grace_period(self):
        sessions = [self.opened(0) for _ in range(self.WRITES)]
        self.set_work(LONG_WORK_S)
        pending = [PendingStatement(session, f"WRITE k{number} one")
                   for number, session in enumerate(sessions)]
        time.sleep(0.3)
        self.stop_instance(index=0)
        outcomes = {statement.session.last_id: statement.result() for statement in pending}
        arrived = self.server("i-0").arrived
        self.assertEqual(outcomes, {request: "INDOUBT" if request in arrived else "BUSY"
                                    for request in outcomes})
        self.assertEqual(set(outcomes.values()), {"INDOUBT", "BUSY"})


class LargeAnswerTest(PlatformTest):
    """Answers that do not fit the connection's buffers."""

    LARGE_TEXT = "x" * 900_000
    RECEIVE_BUFFER_BYTES = 16_384
    READ_DELAY_S = 0.05

    def large_read_session(self):
        self.platform.call(self.platform.database.leader.append, "large", self.LARGE_TEXT)
        session = self.session("newest")
        self.run_until_done(session, "READ a")
        session.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER_BYTES)
        return session

    def receive(self, session):
        """Waits for the beginning of an answer, sends the next statement, and reads the rest of the
        answer after a delay. Returns whether the answer is complete."""
        session.socket.recv(1, socket.MSG_PEEK)
        session.start("READ large")
        time.sleep(self.READ_DELAY_S)
        try:
            return session.answer().rows == [self.LARGE_TEXT]
        except OSError:
            return False

    # Guards against an answer of which the rest is discarded, because the session is closed while the
    # client's next statement has arrived unread.
    def test_last_answer_is_complete_for_a_client_that_has_sent_more(self):
        session = self.large_read_session()
        session.start("READ large")
        self.instances[0].terminate()
        complete = []
        while not complete or complete[-1]:
            complete.append(self.receive(session))
            if complete[-1] and not self.answer_follows(session):
                break
        self.assertGreater(len(complete), 1)
        self.assertNotIn(False, complete)

    @staticmethod
    def answer_follows(session):
        """Whether the stream goes on after an answer."""
        try:
            return session.input.peek(1) != b""
        except OSError:
            return False


if __name__ == "__main__":
    unittest.main()
