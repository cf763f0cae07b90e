"""Planned work at the site under soak, and what happens around the start and the output of a process:
stops that overlap, stops and hang-ups during a start, ports that are in use, log collectors that
restart, changes of the configuration, zones and servers taken out. None of it may cut off a request
or end a process that was not told to end."""

import signal
import socket
import time

from faults import Faults
from platform_fixtures import LOOPBACK

# The longest time from the start of a program to a signal or to the release of its port.
MAX_SIGNAL_DELAY_S = 0.3
POLL_S = 0.0005


class PlannedWork(Faults):
    """As Faults, with plan_ methods."""

    prefix = "plan_"

    plan_stop = Faults.do_planned_stop
    plan_hangup = Faults.do_hangup
    plan_configuration_change = Faults.do_configuration_change
    plan_key_withdrawn = Faults.do_key_withdrawn
    plan_zone_out = Faults.do_zone_out

    def plan_stop_during_start(self):
        return self.planned_stop(lambda instance: self.start_and_signal(instance, signal.SIGTERM))

    def plan_hangup_during_start(self):
        return self.planned_stop(lambda instance: self.start_and_signal(instance, signal.SIGHUP))

    def plan_address_in_use(self):
        return self.planned_stop(self.start_while_an_address_is_in_use)

    def start_and_signal(self, instance, number):
        """Starts the instance and sends it the signal in its first moments."""
        instance.start()
        while not instance.handles_signals() and not instance.ended_by_itself():
            time.sleep(POLL_S)
        time.sleep(self.random.uniform(0, MAX_SIGNAL_DELAY_S))
        at = time.monotonic()
        instance.signal(number)
        if number == signal.SIGTERM:
            self.wait_for_stop(instance, at)
            instance.start()

    def start_while_an_address_is_in_use(self, instance):
        port = getattr(instance, self.random.choice(("callers", "admin", "peers", "gateway")))
        with socket.socket() as taken:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((LOOPBACK, port))
            taken.listen()
            instance.start()
            time.sleep(self.random.uniform(0, MAX_SIGNAL_DELAY_S))

    def plan_collector_restart(self):
        """Ends the process that reads an instance's output, and starts another one."""
        instance = self.reserve_instance()
        if instance is None:
            return None
        instance.collector.stop()

        def end():
            instance.collector.start()
            self.release(instance)

        return end

    def plan_server_drains(self):
        server = self.reserve(self.site.servers)
        if server is None:
            return None
        platform = self.site.platform
        platform.call(platform.register, server, "draining")

        def end():
            platform.call(platform.register, server, "ready")
            self.release(server)

        return end
