"""Tests of oriolethread-platform on the stand-in of the users' platform: sessions, changes of
primary, configuration, rate limits and stops."""

import signal
import threading
import time
import unittest

from platform_fixtures import STOP_GRACE_S, PlatformTest
from oriole_site.http import fetch_metrics


class SessionTest(PlatformTest):
    # Guards against a read that misses its session's own write, because it is sent to a replica
    # whose log lags behind.
    def test_own_writes_are_read_while_replicas_lag(self):
        for server in self.platform.database.servers.values():
            server.lag_s = 0.3
        session = self.session("own")
        for number in range(20):
            self.run_until_done(session, f"WRITE mark value{number}")
            self.assertEqual(session.run("READ mark").rows, [f"value{number}"])

    # Guards against statements that run with the SET values or the prepared statement of another
    # session, because sessions share backend connections.
    def test_values_and_prepared_names_stay_with_their_session(self):
        sessions = [self.session("own", index=0) for _ in range(6)]
        for number, session in enumerate(sessions):
            self.assertIsNone(session.run(f"SET lang v{number}").error)
            shape = f"q{number % 3}"
            self.assertIsNone(session.run(f"PREPARE s1 READ {shape}").error)
        for _ in range(4):
            for session in sessions:
                self.assertIsNone(session.run("EXECUTE s1 item").error)
        ids = {}
        for _, (request_id, _, words, _, values) in self.platform.runs():
            ids[request_id] = (words[0], values.get("lang"))
        for number, session in enumerate(sessions):
            self.assertEqual(ids[session.last_id], (f"q{number % 3}", f"v{number}"))

    # Guards against a statement of a transaction that is sent on another backend connection, and so
    # runs outside of the transaction or on another server.
    def test_transaction_stays_on_its_connection(self):
        session = self.session("newest")
        self.assertEqual(session.run("BEGIN").state, "T")
        self.assertIsNone(session.run("WRITE a one").error)
        self.assertEqual(session.run("READ a").rows, ["one"])
        answer = session.run("COMMIT")
        self.assertIsNone(answer.error)
        self.assertEqual(answer.state, "I")
        self.assertTrue(answer.signature.startswith("signed-i-0-"))
        states = [run[3] for _, run in self.platform.runs()]
        self.assertEqual(states, ["T", "T", "T"])

    # Guards against the writes of an open transaction that remain after its caller disconnects.
    def test_transaction_of_a_caller_that_leaves_is_rolled_back(self):
        session = self.session("newest")
        session.run("BEGIN")
        session.run("WRITE a lost")
        session.close()
        other = self.session("newest")
        self.assertEqual(other.run("READ a").rows, ["None"])

    # Guards against an idle transaction that keeps its backend connection without a time limit.
    def test_idle_transaction_is_ended_and_its_next_statement_refused(self):
        session = self.session("newest")
        session.run("BEGIN")
        session.run("WRITE a one")
        time.sleep(1.5)
        answer = session.run("READ a")
        self.assertEqual((answer.error, answer.state), ("ABORTED", "E"))
        self.assertEqual(session.run("ROLLBACK").state, "I")
        self.assertIsNone(session.run("READ a").error)

    # Guards against invalid input that ends the session or the instance, or is sent to a server.
    def test_bad_input_is_answered_and_sent_to_no_server(self):
        session = self.session("newest")
        for text in ("STATUS", "STEPDOWN 9", "AFTER 1.1 READ a", "WRITE a", "EXECUTE none x",
                     "COMMIT", "CLOSE none"):
            self.assertIn(session.run(text).error, ("MALFORMED", "UNKNOWN"), text)
        self.assertEqual(self.platform.runs(), [])
        self.assertEqual(self.session("no-such").greeting.split(" ")[1], "NODB")
        self.assertEqual(self.session(key="no-key").greeting.split(" ")[1], "DENIED")
        self.assertIsNone(session.run("READ a").error)


class PrimaryTest(PlatformTest):
    # Guards against a database left without a primary after the primary crashes, and against two
    # promotion orders with the same fencing token.
    def test_lost_primary_is_replaced(self):
        session = self.session("newest")
        self.run_until_done(session, "WRITE a one")
        self.platform.call(self.server("i-0").crash)
        started = time.monotonic()
        self.run_until_done(session, "WRITE a two")
        self.assertLess(time.monotonic() - started, 6.0)
        self.assertNotEqual(self.platform.database.leader.id, "i-0")
        self.assertEqual(len(set(self.platform.fences)), len(self.platform.fences))

    # Guards against not replacing a primary that no longer answers but keeps its connections open.
    def test_dark_primary_is_replaced(self):
        session = self.session("newest")
        self.run_until_done(session, "WRITE a one")
        self.server("i-0").dark = True
        self.run_until_done(session, "WRITE a two")
        self.assertNotEqual(self.platform.database.leader.id, "i-0")

    # Guards against a write that is retried, or reported as done or not run, after its answer was
    # lost: the instance cannot know whether it ran.
    def test_write_with_a_lost_answer_runs_once_and_is_in_doubt(self):
        session = self.session("newest")
        self.run_until_done(session, "READ a")
        self.server("i-0").lost_answers = 1
        answer = session.run("WRITE a one")
        self.assertIn(answer.error, ("TIMEOUT", "INDOUBT"))
        writes = [run for _, run in self.platform.runs() if run[0] == session.last_id]
        self.assertEqual(len(writes), 1)

    # Guards against statements sent to the servers of an evacuated zone, and against the loss of
    # writes when its primary is replaced.
    def test_primary_of_an_evacuated_zone_is_replaced(self):
        session = self.session("newest")
        self.run_until_done(session, "WRITE a one")
        self.platform.call(self.platform.store.put, "evacuations", "zone-a", {})
        self.wait(lambda: self.platform.database.leader not in (None, self.server("i-0")),
                  "a primary outside zone-a")
        self.assertEqual(self.run_until_done(session, "READ a").rows, ["one"])
        time.sleep(0.5)
        before = len(self.server("i-0").ran)
        for _ in range(10):
            self.run_until_done(self.session("bounded"), "READ a")
        self.assertEqual(len(self.server("i-0").ran), before)


class SingleInstanceTest(PlatformTest):
    instance_zones = ("zone-a",)

    # Guards against a database left without a primary, because the instance's second order for the
    # same server does not change the object in the store and is taken for another instance's.
    def test_promotion_that_the_platform_lost_is_ordered_again(self):
        session = self.session("newest")
        self.run_until_done(session, "WRITE a one")
        self.platform.lost_promotions = 1
        self.platform.call(self.server("i-0").crash)
        self.run_until_done(session, "WRITE a two")
        self.assertEqual(len(self.platform.orders), 1)


class ConfigurationTest(PlatformTest):
    # Guards against a withdrawn key that is still accepted on a session opened before the
    # withdrawal.
    def test_withdrawn_key_ends_open_sessions(self):
        session = self.session("newest")
        self.run_until_done(session, "READ a")
        self.platform.keys["acme"] = ["other-key"]
        self.platform.call(self.platform.publish)
        self.wait(lambda: self.session(key="acme-key").greeting.startswith("ERROR DENIED"),
                  "refusal of the withdrawn key")
        self.assertEqual(session.run("READ a").error, "DENIED")

    # Guards against an instance that refuses statements while the configuration store is down, or
    # that no longer receives changes after the store is up again.
    def test_service_continues_without_the_store_and_receives_later_changes(self):
        session = self.session("own")
        self.run_until_done(session, "WRITE a one")
        self.platform.store.down = True
        self.platform.call(self.wake_watches)
        for _ in range(10):
            self.assertIsNone(session.run("READ a").error)
            time.sleep(0.1)
        self.platform.keys["acme"].append("new-key")
        self.platform.store.down = False
        self.platform.call(self.platform.publish)
        self.wait(lambda: self.session(key="new-key").greeting.startswith("READY"),
                  "acceptance of the new key")

    async def wake_watches(self):
        async with self.platform.store.changed:
            self.platform.store.changed.notify_all()

    # Guards against an instance that waits for changes that are no longer in the store's history,
    # instead of listing all objects again.
    def test_objects_are_listed_again_after_history_is_lost(self):
        self.platform.call(self.platform.store.forget_history)
        self.platform.keys["acme"].append("new-key")
        self.platform.call(self.platform.publish)
        self.wait(lambda: self.session(key="new-key").greeting.startswith("READY"),
                  "acceptance of the new key")

    # Guards against one malformed server object in the store that makes all servers unusable.
    def test_unreadable_entries_are_skipped(self):
        self.platform.call(self.platform.store.put, "servers", "odd", {"service": 7})
        self.platform.call(self.platform.store.put, "servers", "odder", "text")
        session = self.session("own")
        self.run_until_done(session, "WRITE a one")
        self.assertEqual(session.run("READ a").rows, ["one"])


class RateTest(PlatformTest):
    rate = 20
    burst = 20

    # Guards against an account that gets its full rate at each instance.
    def test_rate_holds_over_all_instances(self):
        seconds = 4.0
        end = time.monotonic() + seconds

        def read_until_end(index):
            session = self.session("newest", index=index)
            while time.monotonic() < end:
                session.run("READ a")

        threads = [threading.Thread(target=read_until_end, args=(index % 2,)) for index in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ran = len(self.platform.runs())
        tolerance = 20
        self.assertLessEqual(ran, (self.rate * seconds + self.burst) * 1.1 + tolerance)
        self.assertGreater(ran, self.rate * seconds / 2)


class StopTest(PlatformTest):
    # Guards against a planned stop that aborts an open transaction, and against an instance that
    # does not exit within the grace period or stays registered in the store.
    def test_planned_stop_ends_open_work_and_leaves_in_time(self):
        session = self.session("newest")
        self.run_until_done(session, "READ a")
        instance = self.instances[0]
        session.run("BEGIN")
        session.run("WRITE a one")
        instance.terminate()
        self.wait(lambda: not instance.ready(), "/readyz to report not ready")
        self.assertIsNone(session.run("COMMIT").error)
        self.assertEqual(instance.process.wait(timeout=STOP_GRACE_S + 2), 0)
        log = instance.log()
        self.assertIn("event=stop_requested", log)
        self.assertIn("event=stop ", log)
        self.assertNotIn("instance-0", self.platform.store.objects["oriole-instances"])

    # Guards against a planned stop that ends while the servers run statements of busy sessions, which
    # never were idle when the instance looked for sessions to close.
    def test_planned_stop_answers_the_statements_of_busy_sessions(self):
        for server in self.platform.database.servers.values():
            server.work_s = 0.02
        unanswered, served = [], []

        def send_without_pause():
            session = self.session("bounded", index=0)
            try:
                while True:
                    answered = False
                    served.append(session.run("READ a").error)
                    answered = True
            except OSError:
                if not answered:
                    unanswered.append(session.last_id)

        callers = [threading.Thread(target=send_without_pause) for _ in range(16)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        self.instances[0].terminate()
        self.assertEqual(self.instances[0].process.wait(timeout=STOP_GRACE_S + 2), 0)
        for caller in callers:
            caller.join()
        time.sleep(0.5)  # The servers end what they have received.
        ran = {run[0] for _, run in self.platform.runs()}
        self.assertGreater(len(served), len(callers))
        self.assertEqual([request for request in unanswered if request in ran], [])

    # Guards against requests that are cut off although the client saw no end of its session before it
    # sent them, because the end came after the last answer or just when it sent the next statement.
    def test_planned_stop_cuts_off_no_request_of_clients_that_see_the_end(self):
        cut_off, served = [], []

        def send_until_the_end():
            session = self.session("bounded", index=0)
            while not session.has_ended():
                try:
                    served.append(session.run("READ a").error)
                except OSError:
                    cut_off.append(session.last_id)
                    return

        callers = [threading.Thread(target=send_until_the_end) for _ in range(24)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        self.instances[0].terminate()
        self.assertEqual(self.instances[0].process.wait(timeout=STOP_GRACE_S + 2), 0)
        for caller in callers:
            caller.join()
        self.assertGreater(len(served), len(callers))
        self.assertEqual(cut_off, [])

    # Guards against a process that ends with all its sessions, because a transaction becomes idle for
    # too long after the stop has rolled it back.
    def test_transaction_that_is_idle_during_a_planned_stop_does_not_end_the_process(self):
        session = self.session("newest")
        self.run_until_done(session, "READ a")
        instance = self.instances[0]
        instance.terminate()
        # The stop rolls transactions back in the middle of the grace period.
        time.sleep(STOP_GRACE_S / 2 - 0.6)
        session.run("BEGIN")
        self.assertIsNone(session.run("READ a").error)
        time.sleep(1.3)
        self.assertEqual(session.run("READ a").error, "ABORTED")
        self.assertEqual(instance.process.wait(timeout=STOP_GRACE_S + 2), 0)

    # Guards against SIGHUP, sent after a change of the settings file, ending the instance or its
    # sessions.
    def test_hangup_keeps_open_sessions(self):
        session = self.session("newest")
        self.run_until_done(session, "READ a")
        self.instances[0].process.send_signal(signal.SIGHUP)
        self.wait(lambda: "event=reload" in self.instances[0].log(), "the reload log line")
        self.assertIsNone(session.run("READ a").error)

    # Guards against a statement that is missing from the log or the metrics, which operators need
    # to find the cause of a failure.
    def test_every_statement_is_logged_and_counted(self):
        session = self.session("own")
        self.run_until_done(session, "WRITE a one")
        request = session.last_id
        self.wait(lambda: f"request={request} " in self.instances[0].log(),
                  "the statement's log line")
        metrics = fetch_metrics(self.instances[0].admin_port)
        self.assertIn('oriole_statements_total{outcome="ok"}', metrics)
        self.assertIn("oriole_statement_latency_ms_count", metrics)


if __name__ == "__main__":
    unittest.main()
