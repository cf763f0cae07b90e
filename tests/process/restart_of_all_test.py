"""Tests of a restart of all instances while the operator takes a key away and a server leaves, with a
store that answers late."""

import asyncio
import threading
import unittest

from platform_fixtures import PlatformTest

STORE_DELAY_S = 0.3
READERS = 6


class RestartOfAllTest(PlatformTest):
    instance_zones = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c")

    def setUp(self):
        super().setUp()
        store = self.platform.store
        handle = store.handle

        async def handle_late(*request):
            await asyncio.sleep(STORE_DELAY_S)
            return await handle(*request)

        store.handle = handle_late

    def restart(self):
        for instance in self.instances:
            instance.stop()
        for instance in self.instances:
            instance.start()

    def read_until(self, stopped, index, key, accepted):
        """Opens sessions one after the other, whether or not the instance is ready, and reads."""
        while not stopped.is_set():
            try:
                session = self.session("bounded", key=key, index=index)
                accepted.append(session.greeting.startswith("READY"))
                session.run("READ a")
                session.close()
            except OSError:
                stopped.wait(0.01)

    # Guards against a withdrawn key or a server that has left that are in use again after a restart,
    # because an instance serves before it knows the newest state.
    def test_withdrawn_key_and_left_server_stay_out_of_use(self):
        server = self.server("i-2")
        self.platform.keys["kita"] = []
        self.platform.call(self.platform.publish)
        self.platform.call(self.platform.store.put, "servers", server.id, None)
        before = len(server.ran)
        stopped, accepted = threading.Event(), []
        readers = [threading.Thread(target=self.read_until,
                                    args=(stopped, number % len(self.instances),
                                          "kita-key" if number % 2 else "acme-key",
                                          accepted if number % 2 else []))
                   for number in range(READERS)]
        self.restart()
        for reader in readers:
            reader.start()
        for instance in self.instances:
            self.wait(instance.ready, "readiness")
        self.run_until_done(self.session("newest"), "WRITE a one")
        stopped.set()
        for reader in readers:
            reader.join()
        self.assertEqual([answer for answer in accepted if answer], [])
        self.assertEqual(len(server.ran), before)
        self.assertTrue(self.session(key="kita-key").greeting.startswith("ERROR DENIED"))


if __name__ == "__main__":
    unittest.main()
