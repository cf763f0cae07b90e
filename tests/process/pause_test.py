"""Instances and replicas that are paused (SIGSTOP) and resumed."""

import json
import threading
import time
import unittest

from fixtures import KEY, SiteTest
from load import Load
from oriole_site.http import Caller, get_row, put_row
from oriole_site.processes import address

STALE_AFTER_S = 2


class PauseTest(SiteTest):
    options = {
        "instances": 3,
        "zones": ["zone-a", "zone-b", "zone-c"],
        "stale_after": f"{STALE_AFTER_S}s",
    }

    def grant(self, name):
        granted = self.site.oriolectl(
            "key", "grant", "--name", name, "--account", "acme", "--author", "test",
            "--output", "json",
        )
        self.site.wait_in_force()
        return json.loads(granted.stdout)["key"]

    def restart_as_replica(self, server):
        primary = self.site.wait_for_primary(self.database, server)
        follow = f"{primary.name}={address(primary.control_port)}"
        self.site.start_server(self.database, server, ["--follow", follow, "--term", "1"])

    def value(self, row, session=None):
        answer = self.caller(0, session=session).run(self.service("write"), get_row(row))
        self.assert_answer(answer, 200, "done")
        return answer.body["results"][0]["value"]

    def load_of_adds(self, row):
        callers = [Caller(instance.caller_port, KEY) for instance in self.site.instances]
        self.close_after_test(callers)

        def send(thread, number):
            add = {"op": "add", "row": row, "amount": 1}
            return callers[thread].run(
                self.service("write"), add, request_id=f"{row}-{thread}-{number}"
            )

        return Load(send, len(callers))

    def fail_over_with_paused(self, instance, load):
        """Kills the primary and pauses the instance at once, while a replica is being promoted;
        resumes the instance after the promotion."""
        lost = self.site.wait_for_primary(self.database)
        lost.process.kill()
        instance.process.pause()
        self.site.wait_for_primary(self.database, lost)
        during = load.done_count()
        self.wait(lambda: load.done_count() > during, "writes through the other instances")
        instance.process.resume()
        self.wait(
            lambda: self.sees_primary(instance, self.site.wait_for_primary(self.database, lost)),
            "the resumed instance's view of the primary",
        )
        self.restart_as_replica(lost)

    def sees_primary(self, instance, primary):
        return instance.status()["databases"][0]["primary"] == primary.name

    # Guards against an instance that, resumed after a failover, completes a promotion it had begun
    # before its pause or sends writes to the former primary.
    def test_instance_paused_during_failover_does_no_harm(self):
        for index, instance in enumerate(self.site.instances):
            with self.subTest(instance=instance.name):
                row = f"paused-{index}"
                writer = self.caller((index + 1) % 3)
                self.write(writer, f"before-{row}", "kept")
                with self.load_of_adds(row) as load:
                    self.fail_over_with_paused(instance, load)
                # After a connection error, as after the outcome "unknown", the add may have run.
                samples = load.samples()
                done = sum(s.done for s in samples)
                undecided = sum(s.answer is None or s.answer.outcome == "unknown" for s in samples)
                total = int(self.value(row))
                self.assertGreaterEqual(total, done)
                self.assertLessEqual(total, done + undecided)
                self.assertEqual(self.value(f"before-{row}", writer.session), "kept")

    # Guards against an instance that accepts a key which was withdrawn during its pause, because it
    # still has the configuration from before the pause.
    def test_resumed_instance_refuses_key_withdrawn_during_pause(self):
        key = self.grant("sleeper")
        instance = self.site.instances[2]
        caller = self.caller(2, key=key)
        self.assert_answer(caller.run(self.service("read"), get_row("r")), 200, "done")
        instance.process.pause()
        self.site.oriolectl("key", "withdraw", "sleeper", "--author", "test")
        self.site.wait_in_force()
        instance.process.resume()
        self.site.wait_in_force([instance])
        answer = self.caller(2, key=key).run(self.service("read"), get_row("r"))
        self.assert_answer(answer, 401, "not-run")

    # The service "strict" must refuse requests while the configuration is older than stale_after.
    # Guards against a resumed instance that runs such a request because it has not yet noticed how
    # long it was paused. The request is sent while the instance is paused.
    def test_resumed_instance_refuses_stale_service_before_it_catches_up(self):
        key = self.grant("strict")
        instance = self.site.instances[1]
        caller = self.caller(1, key=key)
        self.wait(
            lambda: caller.run(self.service("strict"), get_row("r")).outcome == "done",
            'outcome "done" from the service "strict"',
        )
        instance.process.pause()
        paused = time.monotonic()
        self.site.oriolectl("key", "withdraw", "strict", "--author", "test")
        answers = []
        request = threading.Thread(target=self.read_strict, args=(caller, answers))
        request.start()
        self.wait(
            lambda: time.monotonic() > paused + 2 * STALE_AFTER_S,
            "the configuration to be older than stale_after",
        )
        instance.process.resume()
        request.join()
        self.assertEqual([str(a) for a in answers if a.outcome != "not-run"], [])

    def read_strict(self, caller, answers):
        try:
            answers.append(caller.run(self.service("strict"), get_row("r")))
        except OSError:
            pass  # the instance closed the connection because its key was withdrawn

    # Guards against writes that wait for the confirmation of one particular replica, and so stop
    # while it is paused.
    def test_paused_replica_does_not_stop_writes(self):
        primary = self.site.wait_for_primary(self.database)
        for replica in (s for s in self.database.servers if s is not primary):
            with self.subTest(replica=replica.name):
                caller = self.caller(0)
                replica.process.pause()
                try:
                    answers = [
                        caller.run(self.service("write"), put_row(f"{replica.name}-{n}", "x"))
                        for n in range(20)
                    ]
                finally:
                    replica.process.resume()
                self.assertEqual([str(a) for a in answers if a.outcome != "done"], [])
                self.assertEqual(self.value(f"{replica.name}-19", caller.session), "x")


if __name__ == "__main__":
    unittest.main()
