"""Fixtures of the tests with crowds of clients that do not behave. The crowd and the bounds of each
test are fixed: they stay as they are when the product changes."""

import fcntl
import os
import re
import selectors
import socket
import struct
import termios
import threading
import time

from platform_fixtures import LOOPBACK, WAIT_S, PlatformTest, Session

MEBIBYTE = 1 << 20
# The machine of the tests. Its limits are low, so that a small crowd reaches them.
MEMORY_MB = 80
DESCRIPTORS = 456
# Memory of an instance that is to be left some seconds after a crowd.
CALM_MEMORY_MB = 40
# A crowd has sent what it can when the instance has taken nothing from any of its members for this
# long.
QUIET_S = 1.5
SAMPLE_INTERVAL_S = 0.02
SEND_BYTES = 1 << 16
CROWD_KEY = "acme-key"
CALM_KEY = "kita-key"
CALM_DATABASE = "newest"


class Crowd:
    """Clients of one port, each with its own message. They send as fast as the instance reads, and
    read no answers."""

    def __init__(self, port, size, greeting=b""):
        self.members = []
        for _ in range(size):
            try:
                member = socket.create_connection((LOOPBACK, port), timeout=WAIT_S)
                member.sendall(greeting)
            except OSError:
                continue  # The instance may refuse a member.
            self.members.append(member)

    def read_line(self):
        """Reads what each member is sent first. A member that is refused stays as it is."""
        for member in self.members:
            try:
                member.recv(SEND_BYTES)
            except OSError:
                pass

    def send(self, message_of):
        """Sends message_of(number of the member), until all is sent or the instance reads no more."""
        self.send_all(message_of)
        self.settle()

    def send_all(self, message_of):
        with selectors.DefaultSelector() as selector:
            for number, member in enumerate(self.members):
                member.setblocking(False)
                selector.register(member, selectors.EVENT_WRITE, [memoryview(message_of(number))])
            while selector.get_map():
                ready = selector.select(QUIET_S)
                if not ready:
                    return
                for key, _ in ready:
                    if not self.send_part(key):
                        selector.unregister(key.fileobj)

    @staticmethod
    def send_part(key):
        """Whether the member has more to send."""
        left = key.data
        try:
            left[0] = left[0][key.fileobj.send(left[0][:SEND_BYTES]):]
        except BlockingIOError:
            return True
        except OSError:
            return False  # The instance has closed the connection.
        return len(left[0]) > 0

    def settle(self):
        """Waits until the instance takes nothing more of what the members' sockets still have."""
        unsent, changed_at = -1, time.monotonic()
        while time.monotonic() - changed_at < QUIET_S:
            now = sum(map(self.unsent_bytes, self.members))
            if now != unsent:
                unsent, changed_at = now, time.monotonic()
            time.sleep(SAMPLE_INTERVAL_S)

    @staticmethod
    def unsent_bytes(member):
        return struct.unpack("i", fcntl.ioctl(member, termios.TIOCOUTQ, b"\0" * 4))[0]

    def close(self):
        for member in self.members:
            member.close()


class Usage:
    """Samples what an instance uses: its memory with the bytes that it has received and not read, and
    its descriptors."""

    def __init__(self, instance):
        self.instance = instance
        self.ports = {instance.caller_port, instance.admin_port, instance.peer_port,
                      instance.gateway_port}
        self.most_mb = 0.0
        self.most_descriptors = 0
        self.lost_process = False
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.sample, daemon=True)
        self.thread.start()

    def sample(self):
        while not self.ended.wait(SAMPLE_INTERVAL_S):
            try:
                self.take()
            except (OSError, AttributeError):
                # Files of a process that has ended are missing or have no memory in them.
                self.lost_process = True
                return

    def take(self):
        used = self.resident_mb("VmRSS") + self.unread_mb()
        descriptors = len(os.listdir(f"/proc/{self.instance.process.pid}/fd"))
        self.most_mb = max(self.most_mb, used)
        self.most_descriptors = max(self.most_descriptors, descriptors)

    def resident_mb(self, field):
        with open(f"/proc/{self.instance.process.pid}/status", encoding="ascii") as status:
            return int(re.search(rf"{field}:\s+(\d+) kB", status.read()).group(1)) / 1024

    def unread_mb(self):
        with open("/proc/net/tcp", encoding="ascii") as table:
            lines = [line.split() for line in table][1:]
        unread = sum(int(fields[4].split(":")[1], 16) for fields in lines
                     if fields[3] == "01" and int(fields[1].split(":")[1], 16) in self.ports)
        return unread / MEBIBYTE

    def stop(self):
        self.ended.set()
        self.thread.join()
        self.take()
        self.most_mb = max(self.most_mb, self.resident_mb("VmHWM"))


class CrowdTest(PlatformTest):
    """One instance on a small machine. A caller of another account than the crowd's is served before
    the crowd comes."""

    instance_zones = ("zone-a",)
    rate = 100_000
    burst = 100_000
    limits = f"memory_mb: {MEMORY_MB}\nmax_descriptors: {DESCRIPTORS}\n"

    def setUp(self):
        super().setUp()
        self.instance = self.instances[0]
        self.calm = self.session(CALM_DATABASE, CALM_KEY)
        self.run_until_done(self.calm, "READ a")
        self.usage = Usage(self.instance)

    def crowd(self, size, port=None, greeting=b""):
        crowd = Crowd(port or self.instance.caller_port, size, greeting)
        self.addCleanup(crowd.close)
        self.addCleanup(self.usage.ended.set)
        return crowd

    def sessions(self, size):
        """A crowd whose members have sent a valid key and are answered."""
        crowd = self.crowd(size, greeting=f"CONNECT newest {CROWD_KEY}\r\n".encode())
        crowd.read_line()
        return crowd

    def assert_served(self):
        """A new caller is served, and the process lives."""

        def done():
            try:
                session = Session(self.instance.caller_port, CALM_DATABASE, CALM_KEY)
            except OSError:
                return False
            try:
                return session.run("READ a").error is None
            except (OSError, IndexError):
                return False
            finally:
                session.close()

        self.wait(done, "the answer to an ordinary request")
        self.assertIsNone(self.instance.process.poll())

    def assert_within_limits(self):
        """To be called while the crowd is connected: the limits hold, a caller who was connected
        before the crowd keeps its session, and a new one is served."""
        self.assert_served()
        self.assertIsNone(self.calm.run("READ a").error)
        self.assertFalse(self.usage.lost_process, "the sampling ended before the test")
        self.usage.stop()
        found = f"{self.usage.most_mb:.0f} MB, {self.usage.most_descriptors} descriptors"
        print(f"{self.id()}: {found}", flush=True)
        self.assertLessEqual(self.usage.most_mb, MEMORY_MB, found)
        self.assertLessEqual(self.usage.most_descriptors, DESCRIPTORS, found)

    def assert_memory_returns(self, crowd):
        """After the crowd has left, the process returns the memory."""
        crowd.close()
        self.wait(lambda: self.usage.resident_mb("VmRSS") <= CALM_MEMORY_MB, "the return of memory")
        self.assert_served()
