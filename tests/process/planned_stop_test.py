"""Planned stops (SIGTERM) of instances under load."""

import http.client
import threading
import time
import unittest

from fixtures import KEY, SiteTest
from load import BalancedCaller, Balancer, Load
from oriole_site.http import get_row, put_row

THREADS = 6
REQUESTS_BETWEEN_STEPS = 100


class PlannedStopTest(SiteTest):
    # The drain delay is far longer than the time from a caller's query of /readyz to its connection.
    # So no caller connects to an instance that has stopped listening.
    options = {"instances": 4, "drain_delay": "1s"}

    def load(self):
        balancer = Balancer(self.site.instances)
        callers = [BalancedCaller(balancer, KEY) for _ in range(THREADS)]
        self.close_after_test(callers)

        def send(thread, number):
            if thread % 2:
                return callers[thread].run(self.service("read"), get_row(f"stop-{thread}"))
            add = {"op": "add", "row": f"stop-{thread}", "amount": 1}
            request_id = f"{self.id()}-{thread}-{number}"
            return callers[thread].run(self.service("write"), add, request_id=request_id)

        return Load(send, THREADS)

    def wait_for_progress(self, load):
        """Waits for more than REQUESTS_BETWEEN_STEPS further requests with outcome "done"."""
        start = load.done_count()
        self.wait(
            lambda: load.done_count() > start + REQUESTS_BETWEEN_STEPS, "progress of the load"
        )

    def assert_all_answered(self, load):
        unanswered = [
            s for s in load.samples() if s.error or s.answer.outcome not in ("done", "not-run")
        ]
        self.assertEqual([str(s) for s in unanswered], [])

    def replace(self, instance):
        """Stops the instance, checks its exit status 0 and its removal from the instance list, and
        starts it again."""
        instance_id = instance.status()["instance"]
        self.assertIn(instance_id, self.site.listed_instances())
        self.assertEqual(instance.process.stop(), 0)
        self.wait(
            lambda: instance_id not in self.site.listed_instances(),
            "removal from the instance list",
        )
        self.site.start_instance(instance)
        self.site.wait_ready()

    # Guards against a planned stop that closes connections while requests on them are unanswered.
    def test_stop_under_load_cuts_no_request(self):
        with self.load() as load:
            self.wait_for_progress(load)
            self.replace(self.site.instances[0])
            self.wait_for_progress(load)
        self.assert_all_answered(load)

    # Guards against requests cut off when all instances are replaced one by one, and against rate
    # shares that a stopped instance does not give back. A zone has 4 rate shares
    # (share_slots). Its 2 instances and those that replace them in two rounds need 6 in total.
    def test_rolling_replacement_cuts_no_request_and_returns_shares(self):
        with self.load() as load:
            for _ in range(2):
                for instance in self.site.instances:
                    self.replace(instance)
                    self.wait_for_progress(load)
        self.assert_all_answered(load)

    # Guards against a stopping instance that closes its backend connections while callers are still
    # connected: it then refuses their requests.
    def test_stop_under_load_refuses_no_request(self):
        with self.load() as load:
            self.wait_for_progress(load)
            self.replace(self.site.instances[1])
            self.wait_for_progress(load)
        self.assertEqual([str(s) for s in load.samples() if not s.done][:5], [])

    # Guards against a planned stop that rolls back open transactions.
    def test_open_transaction_commits_during_stop(self):
        instance = self.site.instances[0]
        caller = self.caller(0)
        begun = caller.post(f"/v1/services/{self.service('write')}/transactions")
        self.assert_answer(begun, 200, "done")
        path = f"/v1/transactions/{begun.body['transaction']}"
        first = caller.post(path, {"statements": [put_row("open", "1")]})
        self.assert_answer(first, 200, "done")
        instance.process.terminate()
        self.wait(lambda: instance.status()["state"] == "leaving", 'the instance state "leaving"')
        second = caller.post(path, {"statements": [put_row("open", "2")]})
        self.assert_answer(second, 200, "done")
        self.assert_answer(caller.post(path + "/commit"), 200, "done")
        caller.close()
        self.assertEqual(instance.process.stop(), 0)
        answer = self.caller(1).run(self.service("write"), get_row("open"))
        self.assertEqual(answer.body["results"][0]["value"], "2")
        self.site.start_instance(instance)
        self.site.wait_ready()


class UnfinishedRequestsTest(SiteTest):
    """Requests that servers are still running when the drain limit is over."""

    options = {"instances": 1, "drain_delay": "100ms", "drain_limit": "500ms"}
    SEND_TIME_S = 0.2

    def setUp(self):
        self.write(self.caller(), "a", "0")
        self.outcomes = {}

    def send(self, name, call):
        """Sends a request in a thread, which records the answer's outcome or the failure."""

        def run():
            try:
                answer = call()
                self.outcomes[name] = (answer.status, answer.outcome, answer.closes)
            except (OSError, http.client.HTTPException) as failure:
                self.outcomes[name] = repr(failure)

        thread = threading.Thread(target=run)
        thread.start()
        return thread

    def pause_servers(self):
        for server in self.database.servers:
            server.process.pause()
            self.addCleanup(server.process.resume)

    # Guards against requests whose connections end without an answer, because the drain limit is over
    # before their servers answer, and against a write whose caller is told that it has not run.
    def test_requests_that_do_not_end_in_time_are_answered(self):
        callers = {name: self.caller() for name in ("read", "write", "commit")}
        begun = callers["commit"].post(f"/v1/services/{self.service('write')}/transactions")
        self.assert_answer(begun, 200, "done")
        path = f"/v1/transactions/{begun.body['transaction']}"
        self.assert_answer(callers["commit"].post(path, {"statements": [put_row("c", "1")]}),
                           200, "done")
        self.pause_servers()
        threads = [
            self.send("read", lambda: callers["read"].run(self.service("read"), get_row("a"))),
            self.send("write", lambda: callers["write"].run(self.service("write"),
                                                            put_row("a", "1"))),
            self.send("commit", lambda: callers["commit"].post(path + "/commit")),
        ]
        time.sleep(self.SEND_TIME_S)
        self.assertEqual(self.site.instances[0].process.stop(), 0)
        for thread in threads:
            thread.join()
        self.assertEqual(self.outcomes, {"read": (503, "not-run", True),
                                         "write": (504, "unknown", True),
                                         "commit": (504, "unknown", True)})


if __name__ == "__main__":
    unittest.main()
