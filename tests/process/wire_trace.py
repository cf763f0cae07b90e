"""Records the events of one connection as its client sees them, to trace requests that are cut off."""

import asyncio
import collections
import socket
import struct
import time

# Events of a connection that are kept; earlier ones are dropped.
KEPT_EVENTS = 60
# struct tcp_info of Linux: the state is its first byte; from the ninth byte on it has 32-bit fields.
STATE_NAMES = {1: "ESTABLISHED", 4: "FIN_WAIT1", 5: "FIN_WAIT2", 7: "CLOSE", 8: "CLOSE_WAIT",
               9: "LAST_ACK", 11: "CLOSING"}
FIELDS_OFFSET = 8
LAST_DATA_RECV_FIELD = 11
TCP_INFO_BYTES = 104


class KernelView:
    """What the kernel knows of a connection, however late its process reads from it: the state, in
    which CLOSE_WAIT means that the other side has ended the stream and CLOSE that the connection was
    reset, and the time since bytes last arrived."""

    def __init__(self, sock):
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            self.state, self.quiet_s = "closed here", 0.0
            return
        self.state = STATE_NAMES.get(info[0], str(info[0]))
        offset = FIELDS_OFFSET + 4 * LAST_DATA_RECV_FIELD
        self.quiet_s = struct.unpack_from("=I", info, offset)[0] / 1000

    @property
    def stream_ended(self):
        return self.state == "CLOSE_WAIT"

    @property
    def other_side_open(self):
        return self.state == "ESTABLISHED"

    def __str__(self):
        return f"{self.state}, last bytes {self.quiet_s * 1000:.0f} ms ago"


class WireTrace:
    """The last events of one connection. Used on the event loop's thread."""

    def __init__(self, sock):
        self.socket = sock
        self.port = sock.getsockname()[1]
        self.events = collections.deque(maxlen=KEPT_EVENTS)
        self.sent_at = None  # time.monotonic() of the last bytes that were sent
        self.view_at_send = None  # the kernel's view just before that

    def sends(self, data):
        """Records that bytes are about to be sent."""
        self.sent_at, self.view_at_send = time.monotonic(), KernelView(self.socket)
        self.add(f"sends {len(data)} bytes")

    def add(self, event):
        """Records the event with the kernel's view of the connection."""
        self.events.append((time.time(), f"{event} [{KernelView(self.socket)}]"))

    def lines(self):
        return [f"{at:.6f} {event}" for at, event in self.events]


class LoopDelays:
    """How late the event loop ran its timers: a client that is late reads answers late."""

    INTERVAL_S = 0.005
    KEPT = 20_000

    def __init__(self):
        self.delays = collections.deque(maxlen=self.KEPT)

    async def run(self):
        while True:
            due = time.time() + self.INTERVAL_S
            await asyncio.sleep(self.INTERVAL_S)
            self.delays.append((time.time(), time.time() - due))

    def longest(self, start, end):
        """The longest delay, in seconds, of a timer that ran between two times of time.time()."""
        return max((delay for at, delay in self.delays if start <= at <= end), default=0.0)
