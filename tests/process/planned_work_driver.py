"""Drives many callers against several instances while these are stopped, hung up and reconfigured,
over links with a delay, and reports the requests whose connections ended without a whole answer.

    ORIOLE_BUILD=build python3 tests/process/planned_work_driver.py --seed 1 --seconds 60

Exit status 1 if a request was lost: it was passed on to a server, or its connection ended later than
200 ms after its last byte was sent. With --keep, the trace of each request that was cut off and the
logs of the instances are kept."""

import argparse
import asyncio
import collections
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from cut_report import CutReport
from platform_fixtures import LOOPBACK, ROOT, STOP_GRACE_S, Instance
from oriole_site.processes import wait_until
from users_platform import Platform
from users_platform.platform import ROUTES
from wire_trace import KernelView, LoopDelays, WireTrace

ZONES = ("zone-a", "zone-b")
LARGE_TEXT = "x" * 300_000
LINE_END = b"\r\n"
READY_WAIT_S = 20.0


class Relay:
    """Passes the bytes of each connection on after a delay of 1 to 3 ms. Bytes and the end of the
    stream that arrive together are passed on together, as a network does."""

    def __init__(self, target, randomness):
        self.target = target
        self.random = randomness
        self.writers = set()
        self.traces = {}  # port of the client: events of the connection to the instance

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        delay = self.random.uniform(0.001, 0.003)
        try:
            to, back = await asyncio.open_connection(LOOPBACK, self.target)
        except OSError:
            writer.transport.abort()
            return
        trace = WireTrace(back.get_extra_info("socket"))
        client_address = writer.get_extra_info("peername")
        if client_address is not None:
            self.traces[client_address[1]] = trace
        self.writers |= {writer, back}
        await asyncio.gather(self.copy(reader, writer.get_extra_info("socket"), back, delay, trace,
                                       "client"),
                             self.copy(to, back.get_extra_info("socket"), writer, delay, trace,
                                       "instance"))
        writer.transport.abort()
        back.transport.abort()
        self.writers -= {writer, back}

    def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def copy(self, source, sock, target, delay, trace, name):
        queue = asyncio.Queue()

        async def deliver():
            while True:
                due, data, is_last = await queue.get()
                await asyncio.sleep(max(0, due - time.monotonic()))
                try:
                    if data is None:
                        target.transport.abort()
                        return
                    if not data:
                        target.write_eof()
                        return
                    if name == "client":
                        trace.sends(data)
                    target.write(data)
                    if is_last:
                        target.write_eof()
                        return
                    await target.drain()
                except OSError:
                    return

        task = asyncio.create_task(deliver())
        data = b"-"
        while data:
            is_last = False
            try:
                data = await source.read(65536)
                is_last = data and KernelView(sock).stream_ended
                if is_last:
                    data += await source.read()
            except OSError as failure:
                trace.add(f"relay: {name} connection broken: {failure}")
                data = None
            else:
                end = " and the end of the stream" if is_last or not data else ""
                trace.add(f"relay: {len(data)} bytes from the {name}{end}")
            queue.put_nowait((time.monotonic() + delay, data, is_last))
            if is_last:
                break
        await task


class Client:
    """The connection of a caller and what the caller remembers of it."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.wire = WireTrace(writer.get_extra_info("socket"))
        self.wire.add("connected")
        self.requests = []
        self.answered_at = None
        self.last_error = None

    def view(self):
        """The kernel's view of the connection. The end of the stream shows in it before the event loop
        has read it."""
        return KernelView(self.wire.socket)

    def write(self, data, what):
        self.wire.add(f"request {what}")
        self.wire.sends(data)
        self.writer.write(data)

    async def read_line(self):
        line = await self.reader.readuntil(LINE_END)
        self.wire.add(f"reads {line[:40]!r}")
        return line


class Cut:
    """A request whose connection ended without a whole answer."""

    def __init__(self, client, request, text, sent_at, relayed):
        self.client, self.request, self.text = client, request, text
        self.sent_at = sent_at
        self.relayed = relayed  # trace of the relay's connection to the instance; None without one
        self.ended_at = time.monotonic()
        self.pause = sent_at - (client.answered_at or sent_at)
        self.previous = client.last_error  # of the answer before it in its session

    @property
    def took(self):
        return self.ended_at - self.sent_at


class Driver:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.work_dir = tempfile.mkdtemp(prefix="oriole-planned-")
        self.platform = Platform(1_000_000, 1_000_000, True)
        self.platform.statement_timeout_ms = options.timeout_ms
        self.platform.call(self.platform.publish)
        self.instances, self.ports, self.relays = [], [], []
        self.stops = collections.defaultdict(list)  # instance number: times of SIGTERM
        self.outcomes = collections.Counter()
        self.cuts = []
        self.delays = LoopDelays()
        self.next_id = 0
        self.ended = False

    async def run(self):
        build = os.environ.get("ORIOLE_BUILD", os.path.join(ROOT, "build"))
        for number in range(self.options.instances):
            instance = Instance(self.platform, number, ZONES[number % len(ZONES)], self.work_dir,
                                build)
            self.instances.append(instance)
        for instance in self.instances:
            await asyncio.to_thread(wait_until, instance.ready, READY_WAIT_S, "readiness")
            relay = Relay(instance.caller_port, self.random)
            await relay.start()
            self.relays.append(relay)
            self.ports.append(instance.caller_port if self.options.direct else relay.port)
        self.platform.call(self.platform.database.leader.append, "large", LARGE_TEXT)
        delays = asyncio.create_task(self.delays.run())
        callers = [asyncio.create_task(self.call(number))
                   for number in range(self.options.callers)]
        await asyncio.sleep(1)
        work = [asyncio.create_task(self.vary_servers()), asyncio.create_task(self.reconfigure())]
        stops = [asyncio.create_task(self.stop_in_turn(lane)) for lane in range(2)]
        await asyncio.gather(*stops)
        self.ended = True
        await asyncio.gather(*work)
        _, pending = await asyncio.wait(callers, timeout=15)
        for caller in (*pending, delays):
            caller.cancel()
        for relay in self.relays:
            relay.stop()
        for instance in self.instances:
            status = instance.process.poll()
            if status is not None:
                self.outcomes[f"PROCESS ended by itself, status {status}"] += 1
            instance.stop()

    async def vary_servers(self):
        while not self.ended:
            for server in self.platform.database.servers.values():
                server.work_s = self.random.choice((0, 0, 0.005, 0.02, self.options.work_s))
                server.lost_answers = self.options.lost_answers
            await asyncio.sleep(self.random.uniform(0.2, 1.5))

    async def reconfigure(self):
        own_route = ROUTES["own"]
        while not self.ended:
            await asyncio.sleep(self.random.uniform(1, 4))
            kind = self.random.choice(("timeouts", "key", "route", "hangup"))
            if kind == "hangup":
                for instance in self.instances:
                    if instance.process.poll() is None:
                        instance.process.send_signal(signal.SIGHUP)
                continue
            if kind == "timeouts":
                self.platform.statement_timeout_ms = self.random.choice(
                    (self.options.timeout_ms, self.options.timeout_ms * 2))
            elif kind == "route":
                if "own" in ROUTES:
                    del ROUTES["own"]
                else:
                    ROUTES["own"] = own_route
            else:
                self.platform.keys["kita"] = self.random.choice(([], ["kita-key"]))
            await asyncio.to_thread(self.platform.call, self.platform.publish)

    async def stop_in_turn(self, lane):
        """Stops and restarts instances until the end. Two lanes overlap."""
        await asyncio.sleep(lane * self.random.uniform(0.5, 3))
        ends = time.monotonic() + self.options.seconds
        mine = [number for number in range(len(self.instances)) if number % 2 == lane]
        while time.monotonic() < ends:
            number = self.random.choice(mine)
            instance = self.instances[number]
            status = instance.process.poll()
            if status is not None:
                self.outcomes[f"PROCESS ended by itself, status {status}"] += 1
            self.stops[number].append(time.monotonic())
            instance.terminate()
            if self.random.random() < 0.5:
                await asyncio.sleep(self.random.uniform(0, STOP_GRACE_S * 0.9))
                if instance.process.poll() is None:
                    instance.terminate()
            status = await asyncio.to_thread(instance.process.wait, STOP_GRACE_S + 5)
            took = time.monotonic() - self.stops[number][-1]
            if status != 0 or took > STOP_GRACE_S:
                self.outcomes[f"PROCESS status {status} after {took:.1f} s"] += 1
            await self.start_again(instance)
            await asyncio.sleep(self.random.uniform(0.0, 1.5))

    async def start_again(self, instance):
        instance.start()
        await asyncio.to_thread(
            wait_until, lambda: instance.ready() or instance.process.poll() is not None,
            READY_WAIT_S, "readiness")
        status = instance.process.poll()
        if status is not None:
            self.outcomes[f"PROCESS ended before it was ready, status {status}"] += 1
            instance.start()
            await asyncio.to_thread(wait_until, instance.ready, READY_WAIT_S, "readiness")

    def pick_instance(self):
        """Mostly one that is running; also one that stops, as a balancer without others does."""
        number = self.random.randrange(len(self.instances))
        stopped = self.stops[number] and time.monotonic() - self.stops[number][-1] < STOP_GRACE_S
        if stopped and self.random.random() < 0.6:
            return self.pick_instance() if len(self.instances) > 2 else number
        return number

    async def call(self, number):
        pauses = ((0, 0), (0, 0.05), (0.2, 0.6), (0, 0.4))[number % 4]
        while not self.ended:
            instance = self.pick_instance()
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.ports[instance],
                                                               limit=1 << 20)
            except OSError:
                continue
            try:
                await self.session(Client(instance, reader, writer), pauses)
            except (OSError, asyncio.IncompleteReadError):
                self.outcomes["session broken"] += 1
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.02)

    async def session(self, client, pauses):
        key = self.random.choice(("acme-key", "acme-key", "kita-key"))
        early = self.random.random() < 0.05
        database = "missing" if early and self.random.random() < 0.5 else self.random.choice(
            ("newest", "bounded", "own"))
        client.write(f"CONNECT {database} {key}".encode() + LINE_END, "CONNECT")
        if early:
            # The request is sent before the session is confirmed.
            await asyncio.sleep(self.random.choice((0, 0.002)))
            await self.request(client, "READ a", greeting=True)
            return
        greeting = await client.read_line()
        client.answered_at = time.monotonic()
        if greeting.startswith(b"ERROR"):
            self.outcomes["refused session"] += 1
            return
        for _ in range(self.random.randrange(1, 200)):
            if self.ended:
                return
            transaction = self.random.random() < 0.2
            texts = [self.random.choice(("READ a", "READ b", "WRITE a x", "READ large"
                                         if self.random.random() < 0.05 else "READ c"))]
            if transaction:
                texts = ["BEGIN", *(self.random.choice(("READ a", "WRITE b y"))
                                    for _ in range(self.random.randrange(5))), "COMMIT"]
            for text in texts:
                await asyncio.sleep(self.random.uniform(*pauses))
                state = await self.request(client, text)
                if state is None or state == "E" or client.reader.at_eof():
                    return
                if state == "I" and text != "COMMIT" and transaction:
                    break

    async def request(self, client, text, greeting=False):
        """Returns the state after the answer; None if the session is over."""
        if client.reader.at_eof() or not client.view().other_side_open:
            self.outcomes["session ended between requests"] += 1
            return None
        self.next_id += 1
        request = f"{self.options.seed:x}f{self.next_id:x}"
        client.requests.append(request)
        data = f"QUERY {request} {text}".encode() + LINE_END
        cut_at = self.random.randrange(len(data)) if self.random.random() < 0.1 else 0
        if cut_at:
            client.write(data[:cut_at], f"first part of {request}")
            await asyncio.sleep(0.002)
        sent_at = time.monotonic()
        client.write(data[cut_at:], request)
        slow = text == "READ large" and self.random.random() < 0.5
        error = None
        try:
            while True:
                if slow:
                    await asyncio.sleep(0.05)
                line = await client.read_line()
                if greeting and line.startswith(b"READY"):
                    greeting = False
                    continue
                if line.startswith(b"ERROR"):
                    error = line.split()[1].decode()
                    self.outcomes[error] += 1
                    if greeting:
                        return None
                if line.startswith(b"COMPLETE"):
                    self.outcomes["OK"] += 1
                if line.startswith(b"READY"):
                    # The end of the stream leaves the relay a moment after the answer.
                    client.answered_at = time.monotonic()
                    client.last_error = error
                    await asyncio.sleep(0.001)
                    return line.split()[1].decode()
        except (OSError, asyncio.IncompleteReadError) as failure:
            if greeting:
                self.outcomes["no session"] += 1
                return None
            client.wire.add(f"ended without an answer: {failure}")
            relay = None if self.options.direct else self.relays[client.instance]
            self.cuts.append(Cut(client, request, text, sent_at,
                                 relay and relay.traces.get(client.wire.port)))
            return None

    def report(self):
        print(f"seed {self.options.seed}: {sum(self.outcomes.values())} answers, "
              f"{sum(map(len, self.stops.values()))} stops, {len(self.cuts)} cut; "
              f"{dict(self.outcomes)}")
        report = CutReport(self)
        report.print()
        failures = sum(instance.log().count("event=session_failed") for instance in self.instances)
        print(f"  {failures} sessions ended by an unexpected error")
        ended = any(name.startswith("PROCESS") for name in self.outcomes)
        failed = report.lost > 0 or failures > 0 or ended
        if self.options.keep and (self.cuts or failed):
            report.keep(os.path.join(self.options.keep, f"seed-{self.options.seed}"), failed)
        return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--callers", type=int, default=48)
    parser.add_argument("--timeout-ms", type=int, default=1000, help="time limit of the routes")
    parser.add_argument("--work-s", type=float, default=0.3, help="longest work of the servers")
    parser.add_argument("--lost-answers", type=int, default=0,
                        help="answers that each server loses between two changes of its work")
    parser.add_argument("--direct", action="store_true", help="no delay between the processes")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep what is needed to trace the requests that were cut off")
    driver = Driver(parser.parse_args())
    asyncio.run(driver.run())
    lost = driver.report()
    driver.platform.stop()
    if lost:
        print(f"  logs in {driver.work_dir}")
    else:
        shutil.rmtree(driver.work_dir, ignore_errors=True)
    sys.exit(1 if lost else 0)


if __name__ == "__main__":
    main()
