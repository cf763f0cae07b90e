"""Tests of oriolethread-platform with a suspended gateway, the instance that runs the statements of
its zone."""

import re
import signal
import time
import unittest

from platform_fixtures import PlatformTest

# Time for the resumed gateway to run what it had received while it was suspended.
RESUME_S = 1.0


class PausedGatewayTest(PlatformTest):
    instance_zones = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c")

    def forwarding_instance(self):
        """Returns an instance of zone-a that forwards its statements, and the gateway."""
        for index in range(2):
            session = self.session(index=index)
            self.run_until_done(session, "WRITE warm-up value")
            session.close()
            gateway = re.search(r"gateway=instance-(\d)", self.instances[index].log())
            if gateway:
                return index, self.instances[int(gateway.group(1))]
        return None

    def write_times_out_at(self, gateway, index):
        """Suspends the gateway and writes. Resumes it unless the write timed out: when the
        admission of the operation needs the gateway too, the write is not forwarded any more."""
        session = self.session(index=index)
        self.run_until_done(session, "WRITE warm-up value")
        gateway.process.send_signal(signal.SIGSTOP)
        if session.run("WRITE a first").error == "TIMEOUT":
            return True
        gateway.process.send_signal(signal.SIGCONT)
        time.sleep(2 * RESUME_S)
        return False

    # Guards against a write that is carried out after its caller was told that it timed out and a
    # later write was acknowledged, because the gateway was suspended with it.
    def test_write_that_timed_out_is_not_carried_out_after_a_later_one(self):
        self.wait(self.forwarding_instance, "a forwarded statement")
        index, gateway = self.forwarding_instance()
        self.wait(lambda: self.write_times_out_at(gateway, index), "a forwarded write")
        later = self.session(index=index)
        self.run_until_done(later, "WRITE a second")
        gateway.process.send_signal(signal.SIGCONT)
        time.sleep(RESUME_S)
        written = [data for _, item, data in self.platform.database.leader.log if item == "a"]
        self.assertEqual(written[-1], "second")


if __name__ == "__main__":
    unittest.main()
