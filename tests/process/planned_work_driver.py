"""Drives many callers against several instances while these are stopped, hung up and reconfigured,
over links with a delay, and reports the requests whose connections ended without a whole answer.

    ORIOLE_BUILD=build python3 tests/process/planned_work_driver.py --seed 1 --seconds 60

Exit status 1 if a request was lost: it was passed on to a server, or its connection ended later than
200 ms after its last byte was sent."""

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

from platform_fixtures import LOOPBACK, ROOT, STOP_GRACE_S, Instance
from oriole_site.processes import wait_until
from users_platform import Platform

LOST_S = 0.2
ZONES = ("zone-a", "zone-b")
# A request after a shorter pause should not cross the end of its session: quiet sessions are closed.
CROSSING_PAUSE_S = 0.28
LARGE_TEXT = "x" * 300_000
LINE_END = b"\r\n"
READY_WAIT_S = 20.0
# Later than this after SIGTERM, a statement that still runs at the end of the grace period counts.
EXCUSED_SEND_S = 3.0


class Relay:
    """Passes the bytes of each connection on after a delay of 1 to 3 ms."""

    def __init__(self, target, randomness):
        self.target = target
        self.random = randomness

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
        await asyncio.gather(self.copy(reader, back, delay), self.copy(to, writer, delay))

    async def copy(self, source, target, delay):
        queue = asyncio.Queue()

        async def deliver():
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0, due - time.monotonic()))
                try:
                    if data is None:
                        target.transport.abort()
                        return
                    if not data:
                        target.write_eof()
                        return
                    target.write(data)
                    await target.drain()
                except OSError:
                    return

        task = asyncio.create_task(deliver())
        data = b"-"
        while data:
            try:
                data = await source.read(65536)
            except OSError:
                data = None
            queue.put_nowait((time.monotonic() + delay, data))
        await task


class Cut:
    def __init__(self, request, text, instance, sent_at, ended_at, pause, previous):
        self.request, self.text, self.instance = request, text, instance
        self.sent_at, self.ended_at, self.pause = sent_at, ended_at, pause
        self.previous = previous  # error of the answer before it in its session


class Driver:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.work_dir = tempfile.mkdtemp(prefix="oriole-planned-")
        self.platform = Platform(1_000_000, 1_000_000, True)
        self.platform.statement_timeout_ms = options.timeout_ms
        self.platform.call(self.platform.publish)
        self.instances, self.ports = [], []
        self.stops = collections.defaultdict(list)  # instance number: times of SIGTERM
        self.outcomes = collections.Counter()
        self.cuts = []
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
            self.ports.append(instance.caller_port if self.options.direct else relay.port)
        self.platform.call(self.platform.database.leader.append, "large", LARGE_TEXT)
        callers = [asyncio.create_task(self.call(number))
                   for number in range(self.options.callers)]
        await asyncio.sleep(1)
        work = [asyncio.create_task(self.vary_servers()), asyncio.create_task(self.reconfigure())]
        stops = [asyncio.create_task(self.stop_in_turn(lane)) for lane in range(2)]
        await asyncio.gather(*stops)
        self.ended = True
        await asyncio.gather(*work)
        _, pending = await asyncio.wait(callers, timeout=15)
        for caller in pending:
            caller.cancel()
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
        while not self.ended:
            await asyncio.sleep(self.random.uniform(1, 4))
            kind = self.random.choice(("timeouts", "key", "hangup"))
            if kind == "hangup":
                for instance in self.instances:
                    if instance.process.poll() is None:
                        instance.process.send_signal(signal.SIGHUP)
                continue
            if kind == "timeouts":
                self.platform.statement_timeout_ms = self.random.choice(
                    (self.options.timeout_ms, self.options.timeout_ms * 2))
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
            instance.start()
            await asyncio.to_thread(wait_until, instance.ready, READY_WAIT_S, "readiness")
            await asyncio.sleep(self.random.uniform(0.0, 1.5))

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
                await self.session(instance, reader, writer, pauses)
            except (OSError, asyncio.IncompleteReadError):
                self.outcomes["session broken"] += 1
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.02)

    async def session(self, instance, reader, writer, pauses):
        key = self.random.choice(("acme-key", "acme-key", "kita-key"))
        early = self.random.random() < 0.05
        database = "missing" if early and self.random.random() < 0.5 else self.random.choice(
            ("newest", "bounded", "own"))
        writer.write(f"CONNECT {database} {key}".encode() + LINE_END)
        if early:
            # The request is sent before the session is confirmed.
            await asyncio.sleep(self.random.choice((0, 0.002)))
            await self.request(instance, reader, writer, "READ a", greeting=True)
            return
        greeting = await reader.readuntil(LINE_END)
        reader.answered_at = time.monotonic()
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
                state = await self.request(instance, reader, writer, text)
                if state is None or state == "E" or reader.at_eof():
                    return
                if state == "I" and text != "COMMIT" and transaction:
                    break

    async def request(self, instance, reader, writer, text, greeting=False):
        """Returns the state after the answer; None if the session is over."""
        if reader.at_eof():
            return None
        self.next_id += 1
        request = f"{self.options.seed:x}f{self.next_id:x}"
        data = f"QUERY {request} {text}".encode() + LINE_END
        cut_at = self.random.randrange(len(data)) if self.random.random() < 0.1 else 0
        if cut_at:
            writer.write(data[:cut_at])
            await asyncio.sleep(0.002)
        writer.write(data[cut_at:])
        sent_at = time.monotonic()
        pause = sent_at - getattr(reader, "answered_at", sent_at)
        previous = getattr(reader, "last_error", None)
        reader.last_error = None
        slow = text == "READ large" and self.random.random() < 0.5
        try:
            while True:
                if slow:
                    await asyncio.sleep(0.05)
                line = await reader.readuntil(LINE_END)
                if greeting and line.startswith(b"READY"):
                    greeting = False
                    continue
                if line.startswith(b"ERROR"):
                    reader.last_error = line.split()[1].decode()
                    self.outcomes[reader.last_error] += 1
                    if greeting:
                        return None
                if line.startswith(b"COMPLETE"):
                    self.outcomes["OK"] += 1
                if line.startswith(b"READY"):
                    # The end of the stream leaves the relay a moment after the answer.
                    reader.answered_at = time.monotonic()
                    await asyncio.sleep(0.001)
                    return line.split()[1].decode()
        except (OSError, asyncio.IncompleteReadError):
            if greeting:
                self.outcomes["no session"] += 1
                return None
            self.cuts.append(Cut(request, text, instance, sent_at, time.monotonic(), pause,
                                 previous))
            return None

    def report(self):
        ran = {run[0] for _, run in self.platform.runs()}
        print(f"seed {self.options.seed}: {sum(self.outcomes.values())} answers, "
              f"{sum(map(len, self.stops.values()))} stops, {len(self.cuts)} cut; "
              f"{dict(self.outcomes)}")
        lost = 0
        for cut in self.cuts:
            took = cut.ended_at - cut.sent_at
            stop = max((at for at in self.stops[cut.instance] if at <= cut.ended_at), default=None)
            after = None if stop is None else cut.sent_at - stop
            passed_on = cut.request in ran
            is_lost = passed_on or took > LOST_S
            excused = after is not None and after < EXCUSED_SEND_S and (
                cut.ended_at - stop > STOP_GRACE_S * 5 / 6)
            lost += is_lost and not excused
            if is_lost or cut.pause < CROSSING_PAUSE_S:
                where = "no stop" if after is None else f"sent {after:.3f} s after SIGTERM"
                print(f"  {'excused' if excused else 'LOST' if is_lost else 'early'} {cut.request} {cut.text[:20]} at "
                      f"instance-{cut.instance} {where}, ended {took * 1000:.0f} ms later, "
                      f"ran={passed_on}, pause before {cut.pause * 1000:.0f} ms, "
                      f"answer before {cut.previous or 'without error'}")
        crossed = [cut for cut in self.cuts if cut.ended_at - cut.sent_at <= LOST_S
                   and cut.request not in ran]
        print(f"  {len(crossed)} crossed the end of their session (not run, ended within 200 ms); "
              f"after pauses of {sorted(round(cut.pause * 1000) for cut in crossed)} ms")
        failures = sum(instance.log().count("event=session_failed") for instance in self.instances)
        print(f"  {failures} sessions ended by an unexpected error")
        return lost or failures or any(name.startswith("PROCESS") for name in self.outcomes)


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
