"""Tests of the answers to statements that are still running when the grace period of a planned stop
ends."""

import re
import signal
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
# Time from SIGTERM until the instance has certainly seen it.
STOP_SEEN_S = 0.5
# Less than the part of the grace period before which the sessions have ended.
SESSIONS_END_MARGIN_S = 0.3


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


class LongStatementsTest(PlatformTest):
    """Fixture of the tests in this file."""

    latency_target_ms = 800

    def allow_long_statements(self):
        """Returns when the time limit is in force at all instances."""
        self.platform.statement_timeout_ms = LONG_TIMEOUT_MS
        self.platform.latency_target_ms = self.latency_target_ms
        self.platform.call(self.platform.publish)
        in_force = f"event=configuration version={self.platform.version} "
        for instance in self.instances:
            self.wait(lambda log=instance.log: in_force in log(), "the configuration's log line")


class StoppingInstanceTest(LongStatementsTest):
    def setUp(self):
        super().setUp()
        # The servers take so long that the primary seems to be lost.
        self.platform.refuses_promotions = True
        self.allow_long_statements()
        for index in range(len(self.instances)):
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

    # Guards against statements that get no answer because the process was not scheduled, or was
    # suspended, until the time to end its sessions was over.
    def test_unfinished_statements_are_answered_after_a_suspension_until_the_end(self):
        pending = self.start_statements(index=0)
        process = self.instances[0].process
        process.terminate()
        time.sleep(STOP_SEEN_S)
        process.send_signal(signal.SIGSTOP)
        time.sleep(STOP_GRACE_S - SESSIONS_END_MARGIN_S - STOP_SEEN_S)
        process.send_signal(signal.SIGCONT)
        outcomes = {name: statement.result() for name, statement in pending.items()}
        self.assertEqual(process.wait(timeout=STOP_GRACE_S), 0)
        self.assertEqual(outcomes, {"read": "ABORTED", "write": "INDOUBT",
                                    "transaction": "ABORTED", "commit": "INDOUBT",
                                    "commit of reads": "ABORTED"})

    def gateway(self):
        """Waits until one instance forwards its statements to the other; returns the other."""
        forwarding = []

        def finds_gateway():
            for index, instance in enumerate(self.instances):
                self.run_until_done(self.session(index=index), "READ a")
                forwarding.extend(re.findall(r"gateway=instance-(\d)", instance.log())[:1])
            return forwarding

        self.wait(finds_gateway, "a forwarded statement")
        return int(forwarding[0])

    def ran_at(self, index, statement):
        """The number of the instance whose answer the caller got. It sent the statement to `index`."""
        line = re.compile(rf"event=statement request={statement.session.last_id} .*")
        self.wait(lambda: line.search(self.instances[index].log()), "the statement's log line")
        gateway = re.search(r"gateway=instance-(\d)", line.search(self.instances[index].log())[0])
        return int(gateway[1]) if gateway else index

    def check_statements_of_the_other_instance(self, stopped, other):
        """Returns by which instance each statement was answered."""
        pending = self.start_statements(index=other)
        self.stop_instance(stopped)
        outcomes = {name: statement.result() for name, statement in pending.items()}
        self.assertNotIn("no answer", outcomes.values())
        # The servers may have run both.
        self.assertIn(outcomes["write"], ("INDOUBT", "TIMEOUT", "OK"))
        self.assertIn(outcomes["commit"], ("INDOUBT", "TIMEOUT", "OK"))
        return {name: self.ran_at(other, statement) for name, statement in pending.items()}

    # Guards against statements that get no answer, or one that promises too much, when the gateway
    # that runs them for another instance ends.
    def test_forwarded_statements_are_answered_when_the_gateway_ends(self):
        gateway = self.gateway()
        other = 1 - gateway
        ran_at = self.check_statements_of_the_other_instance(gateway, other)
        # A read that the gateway does not answer within 650 ms runs at the instance itself.
        self.assertEqual(ran_at, {"read": other, "write": gateway, "transaction": gateway,
                                  "commit": gateway, "commit of reads": gateway})

    # Guards against the same for statements of the gateway's own sessions when the instance that
    # forwards its statements to it ends.
    def test_statements_of_the_gateway_are_answered_when_the_other_instance_ends(self):
        gateway = self.gateway()
        ran_at = self.check_statements_of_the_other_instance(1 - gateway, gateway)
        self.assertEqual(set(ran_at.values()), {gateway})

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


class LargeAnswerTest(LongStatementsTest):
    """Answers that do not fit the connection's buffers."""

    LARGE_TEXT = "x" * 900_000
    RECEIVE_BUFFER_BYTES = 16_384
    READ_DELAY_S = 0.05

    def large_read_session(self):
        # The answer of a server that is slow on a busy machine is not one of those at issue.
        self.allow_long_statements()
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
