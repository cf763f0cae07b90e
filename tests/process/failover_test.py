"""Failover when the primary is killed, paused or taken out of service."""

import threading
import unittest

from fixtures import SiteTest
from oriole_site.http import Caller, get_row, put_row
from oriole_site.processes import address


class FailoverTest(SiteTest):
    options = {"instances": 3, "zones": ["zone-a", "zone-b", "zone-c"], "lag_ms": "50:200"}

    def restart_as_replica(self, server):
        primary = self.site.wait_for_primary(self.database, server)
        follow = f"{primary.name}={address(primary.control_port)}"
        self.site.start_server(self.database, server, ["--follow", follow, "--term", "1"])

    def assert_all_present(self, values, session):
        reader = self.caller(0, session=session)
        for row, value in values.items():
            answer = reader.run(self.service("write"), get_row(row))
            self.assert_answer(answer, 200, "done")
            self.assertEqual(answer.body["results"][0]["value"], value, row)

    # Guards against the loss of acknowledged writes when a replica is promoted that has not applied
    # them all, with the platform reachable and unreachable.
    def test_killed_primary_keeps_acknowledged_writes(self):
        for platform_down in (False, True):
            with self.subTest(platform_down=platform_down):
                self.site.set_platform_faults(down=platform_down)
                caller = self.caller(1)
                values = {f"row-{platform_down}-{n}": str(n) for n in range(20)}
                for row, value in values.items():
                    self.write(caller, row, value)
                lost = self.site.wait_for_primary(self.database)
                lost.process.kill()
                self.write(caller, "after", "failover")
                self.assert_all_present(values, caller.session)
                self.site.set_platform_faults(down=False)
                self.restart_as_replica(lost)

    # Guards against a former primary that, resumed after another was promoted, still acknowledges
    # writes or answers reads with its old data.
    def test_paused_primary_does_not_acknowledge_after_its_return(self):
        caller = self.caller(0)
        self.write(caller, "pause", "before")
        old = self.site.wait_for_primary(self.database)
        old.process.pause()
        self.write(caller, "pause", "during")
        self.site.wait_for_primary(self.database, old)
        old.process.resume()
        for index in range(3):
            reader = self.caller(index, session=caller.session)
            answer = reader.run(self.service("read"), get_row("pause"))
            self.assert_answer(answer, 200, "done")
            self.assertEqual(answer.body["results"][0]["value"], "during")
        self.write(caller, "pause", "after")

    # Guards against a request that runs twice, or that runs although its outcome is "not-run", when
    # an instance retries it during a failover.
    def test_counted_adds_during_failover_match_their_outcomes(self):
        counts = {"done": 0, "unknown": 0}
        stop = threading.Event()

        def add_until_stopped(index):
            caller = Caller(self.site.instances[index].caller_port, "acme-key")
            number = 0
            while not stop.is_set():
                number += 1
                add = {"op": "add", "row": "total", "amount": 1}
                request_id = f"add-{index}-{number}"
                answer = caller.run(self.service("write"), add, request_id=request_id)
                if answer.outcome in counts:
                    with lock:
                        counts[answer.outcome] += 1
            caller.close()

        lock = threading.Lock()
        threads = [threading.Thread(target=add_until_stopped, args=(i,)) for i in range(3)]
        for thread in threads:
            thread.start()
        lost = self.site.wait_for_primary(self.database)
        lost.process.kill()
        self.site.wait_for_primary(self.database, lost)
        self.write(self.caller(0), "marker", "x")
        stop.set()
        for thread in threads:
            thread.join()
        answer = self.caller(0).run(self.service("write"), get_row("total"))
        total = int(answer.body["results"][0]["value"])
        self.assertGreaterEqual(total, counts["done"])
        self.assertLessEqual(total, counts["done"] + counts["unknown"])
        self.restart_as_replica(lost)

    # Guards against writes refused during a planned change of primary, when the server is taken out
    # of service while writes arrive.
    def test_planned_change_of_primary_refuses_no_write(self):
        answers = []
        stop = threading.Event()

        def write_until_stopped(index):
            caller = Caller(self.site.instances[index].caller_port, "acme-key")
            while not stop.is_set():
                answers.append(caller.run(self.service("write"), put_row(f"planned-{index}", "x")))
            caller.close()

        threads = [threading.Thread(target=write_until_stopped, args=(i,)) for i in range(3)]
        for thread in threads:
            thread.start()
        primary = self.site.wait_for_primary(self.database)
        self.site.oriolectl("server", "out", primary.name, "--author", "test")
        self.site.wait_in_force()
        self.site.wait_for_primary(self.database, primary)
        self.site.oriolectl("server", "in", primary.name, "--author", "test")
        stop.set()
        for thread in threads:
            thread.join()
        self.assertTrue(answers)
        self.assertEqual([str(a) for a in answers if a.outcome != "done"], [])


if __name__ == "__main__":
    unittest.main()
