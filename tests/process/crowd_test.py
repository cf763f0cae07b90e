"""Crowds of clients that do not behave, against one instance with low limits of memory and
descriptors. Each class is one CTest test. Nothing depends on the machine's speed: the process lives,
stays within its limits, and serves an ordinary request while the crowd is connected."""

import unittest

from crowd_fixtures import CALM_KEY, MEBIBYTE, CrowdTest
from peer_crowd import PeerCrowd

CROWD = 120
# More than the descriptors of the instance.
LARGE_CROWD = 600
# Bytes of a message beside its data, less than these.
MESSAGE_MARGIN = 256


def text_of(size):
    return b"x" * size


class ConnectCrowd(CrowdTest):
    # Guards against memory that anybody can take before a key was checked, by messages that do not end.
    def test_connect_lines_without_an_end_stay_within_the_limits(self):
        crowd = self.crowd(CROWD)
        crowd.send(lambda _: b"CONNECT newest " + text_of(MEBIBYTE - MESSAGE_MARGIN))
        self.assert_within_limits()

    # Guards against a limit that is checked only after a whole message was received.
    def test_first_lines_far_over_the_limit_stay_within_the_limits(self):
        crowd = self.crowd(CROWD)
        crowd.send(lambda _: text_of(8 * MEBIBYTE))
        self.assert_within_limits()

    # Guards against clients that connect and send nothing, so that descriptors run out.
    def test_connections_without_a_message_stay_within_the_limits(self):
        self.crowd(LARGE_CROWD).settle()
        self.assert_within_limits()

    # Guards against sessions that one account keeps open, so that descriptors run out or other
    # accounts find no connection.
    def test_sessions_of_one_account_stay_within_the_limits(self):
        self.sessions(LARGE_CROWD).settle()
        self.assert_within_limits()


class UnfinishedCrowd(CrowdTest):
    # Guards against statements that stop half-way and keep what was received.
    def test_statements_that_stop_half_way_stay_within_the_limits(self):
        crowd = self.sessions(CROWD)
        crowd.send(lambda number: b"QUERY u%x WRITE item " % number
                   + text_of(MEBIBYTE - MESSAGE_MARGIN))
        self.assert_within_limits()

    # Guards against a limit that is checked only after a whole message was received.
    def test_statements_far_over_the_limit_stay_within_the_limits(self):
        crowd = self.sessions(CROWD)
        crowd.send(lambda number: b"QUERY u%x WRITE item " % number + text_of(8 * MEBIBYTE))
        self.assert_within_limits()


class LargeWritesCrowd(CrowdTest):
    # Guards against statements of legal size, many at once, whose copies add up, and against memory
    # that stays when their callers have left.
    def test_whole_writes_of_legal_size_stay_within_the_limits(self):
        session = self.session("newest", CALM_KEY)
        large = "x" * (MEBIBYTE - MESSAGE_MARGIN)
        self.assertIsNone(session.run(f"WRITE calm {large}").error)
        crowd = self.sessions(CROWD)
        crowd.send(lambda number: b"QUERY w%x WRITE item " % number
                   + text_of(MEBIBYTE - MESSAGE_MARGIN) + b"\r\n")
        self.assert_within_limits()
        self.assert_memory_returns(crowd)


class PipelinedCrowd(CrowdTest):
    # Guards against messages that are sent ahead and wait in the process or, unread, in its sockets,
    # while the first ones run at a slow server.
    def test_messages_sent_ahead_stay_within_the_limits(self):
        for server in self.platform.database.servers.values():
            server.work_s = 0.05
        crowd = self.sessions(CROWD)

        def message(number):
            sent_ahead = b"".join(b"QUERY p%x-%x SET v %s\r\nQUERY r%x-%x READ a\r\n"
                                  % (number, at, text_of(MEBIBYTE // 4), number, at)
                                  for at in range(16))
            return sent_ahead

        crowd.send(message)
        self.assert_within_limits()

    # Guards against one client whose many small messages hold up the others.
    def test_small_messages_sent_ahead_stay_within_the_limits(self):
        crowd = self.sessions(CROWD)
        crowd.send(lambda number: b"".join(b"QUERY s%x-%x SET v %x\r\n" % (number, at, at)
                                           for at in range(20_000)))
        self.assert_within_limits()


class PreparedCrowd(CrowdTest):
    # Guards against prepared names without a limit, each of which is kept until its session ends.
    def test_prepared_names_stay_within_the_limits(self):
        crowd = self.sessions(CROWD)
        name = text_of(4096)
        crowd.send(lambda number: b"".join(b"QUERY p%x-%x PREPARE n%x%s READ q\r\n"
                                           % (number, at, at, name) for at in range(300)))
        self.assert_within_limits()

    # Guards against session values without a limit.
    def test_session_values_stay_within_the_limits(self):
        crowd = self.sessions(CROWD)
        value = text_of(4096)
        crowd.send(lambda number: b"".join(b"QUERY p%x-%x SET n%x %s\r\n"
                                           % (number, at, at, value) for at in range(600)))
        self.assert_within_limits()


class SlowReadersCrowd(CrowdTest):
    # Guards against answers that are kept for clients that do not read them.
    def test_answers_that_are_not_read_stay_within_the_limits(self):
        session = self.session("newest", CALM_KEY)
        large = "x" * (MEBIBYTE - MESSAGE_MARGIN)
        self.assertIsNone(session.run(f"WRITE large {large}").error)
        crowd = self.sessions(CROWD)
        crowd.send(lambda number: b"".join(b"QUERY r%x-%x READ large\r\n" % (number, at)
                                           for at in range(8)))
        self.assert_within_limits()
        self.assert_memory_returns(crowd)


class PeerPortsCrowd(CrowdTest):
    # Guards against connections to the ports between instances, so that descriptors run out.
    def test_connections_to_the_ports_between_instances_stay_within_the_limits(self):
        for port in (self.instance.peer_port, self.instance.gateway_port):
            self.crowd(LARGE_CROWD, port).settle()
        self.assert_within_limits()

    # Guards against memory that is taken for a message before its bytes have arrived. The members
    # know the fleet's secret.
    def test_messages_between_instances_that_stop_half_way_stay_within_the_limits(self):
        for port in (self.instance.peer_port, self.instance.gateway_port):
            crowd = PeerCrowd(port, CROWD // 2)
            self.addCleanup(crowd.close)
            crowd.start_messages()
        self.assert_within_limits()


class AdminPortCrowd(CrowdTest):
    # Guards against connections to the port for probes, so that descriptors run out.
    def test_connections_to_the_port_for_probes_stay_within_the_limits(self):
        self.crowd(LARGE_CROWD, self.instance.admin_port).settle()
        self.assert_within_limits()

    # Guards against requests without an end, and against answers that are not read.
    def test_requests_to_the_port_for_probes_stay_within_the_limits(self):
        crowd = self.crowd(CROWD, self.instance.admin_port)
        crowd.send(lambda number: b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2000 if number % 2
                   else b"GET / HTTP/1.1\r\nX: " + text_of(4 * MEBIBYTE))
        self.assert_within_limits()
        self.assertTrue(self.instance.ready())


if __name__ == "__main__":
    unittest.main()
