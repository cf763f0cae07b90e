"""The system under soak: instances as processes, stand-ins, and a fault-injecting proxy in front of
each address."""

import dataclasses
import glob
import os
import signal
import subprocess
import threading
import time

from history import Entry, RecordedAnswers, TimestampedRuns
from judge import RateLimit
from platform_fixtures import LOOPBACK, ROOT, STOP_GRACE_S, Platform, free_port
from oriole_site.http import fetch_status, put_json

# Zones of the instances, in turn. The platform stand-in has one backend server in each of them.
ZONES = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c")
DEFAULT_INSTANCES = len(ZONES)
# The accounts that share the limit of the soak, and one with a limit that its callers exceed, so that
# instances which admit more than they may are seen.
ACCOUNTS = ("acme", "kita")
RATE = 200
BURST = 200
LIMITED_ACCOUNT = "lima"
LOW_LIMIT = RateLimit(rate=40, burst=40)
COLLECT_INTERVAL_S = 0.02


class Proxy:
    """A process of the oriole-faults proxy, with one port for each target port."""

    def __init__(self, build, targets):
        self.control = free_port()
        self.ports = [free_port() for _ in targets]
        arguments = [os.path.join(build, "bin", "oriole-faults"), "--control",
                     f"{LOOPBACK}:{self.control}"]
        for port, target in zip(self.ports, targets):
            arguments += ["--route", f"{LOOPBACK}:{port}={LOOPBACK}:{target}"]
        self.process = subprocess.Popen(arguments, stdout=subprocess.DEVNULL,
                                        stderr=subprocess.DEVNULL)

    def set(self, **faults):
        put_json(self.control, "/faults", faults)


class Collector:
    """Reads the output of a process from a named pipe and appends it to a log file, until it is
    stopped. The process keeps its end of the pipe."""

    def __init__(self, pipe, log_path):
        self.pipe, self.log_path = pipe, log_path
        os.mkfifo(pipe)
        self.start()

    def start(self):
        self.reading = os.open(self.pipe, os.O_RDONLY | os.O_NONBLOCK)
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        with open(self.log_path, "ab") as log:
            while not self.stopped.wait(COLLECT_INTERVAL_S):
                self.copy_to(log)
            os.close(self.reading)

    def copy_to(self, log):
        try:
            while data := os.read(self.reading, 1 << 16):
                log.write(data)
        except BlockingIOError:
            pass  # Nothing more has been written.
        log.flush()

    def stop(self):
        self.stopped.set()
        self.thread.join()


class Instance:
    """An entry instance. Its process can be started again with the same settings."""

    def __init__(self, number, zone, work_dir, build):
        self.name = f"instance-{number}"
        self.zone = zone
        self.program = os.path.join(build, "bin", "oriolethread-platform")
        self.settings = os.path.join(work_dir, f"{self.name}.yaml")
        self.log_path = os.path.join(work_dir, f"{self.name}.log")
        self.callers, self.admin, self.peers, self.gateway = (free_port() for _ in range(4))
        self.process = None
        self.collector = Collector(os.path.join(work_dir, f"{self.name}.pipe"), self.log_path)

    def write_settings(self, store, promotions, stop_grace_s):
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f"instance: {self.name}\nzone: {self.zone}\n"
                      f"callers: {LOOPBACK}:{self.callers}\nadmin: {LOOPBACK}:{self.admin}\n"
                      f"peers: {LOOPBACK}:{self.peers}\ngateway: {LOOPBACK}:{self.gateway}\n"
                      f"core_share: 0.25\nstore: {LOOPBACK}:{store}\n"
                      f"promotions: {LOOPBACK}:{promotions}\nstop_grace_s: {stop_grace_s}\n"
                      f"zones: [{', '.join(sorted(set(ZONES)))}]\nfenced_promotions: true\n")

    def start(self):
        self.ordered_to_end = False
        with self.open_output() as output:
            self.process = subprocess.Popen([self.program, "--settings", self.settings],
                                            stdout=output, stderr=subprocess.STDOUT)

    def open_output(self):
        return open(self.collector.pipe, "wb", buffering=0)

    def signal(self, number):
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.ordered_to_end = True
        if self.process.poll() is None:
            self.process.send_signal(number)

    def ended_by_itself(self):
        return self.process.poll() is not None and not self.ordered_to_end

    def handles_signals(self):
        """Whether the program has been loaded; until then signals end it."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                fields = dict(line.split(":\t") for line in status if ":\t" in line)
        except OSError:
            return False
        handled = int(fields["SigBlk"], 16) | int(fields["SigCgt"], 16)
        return bool(handled & (1 << (signal.SIGTERM - 1)))

    def record_threads(self):
        """Writes the state of each thread beside the log. Tells a process that waits or computes
        from one that has ended, but was not seen to end."""
        with open(f"{self.log_path}.threads", "a", encoding="utf-8") as out:
            for task in sorted(glob.glob(f"/proc/{self.process.pid}/task/*")):
                for name in ("stat", "wchan", "syscall"):
                    try:
                        with open(os.path.join(task, name), encoding="ascii") as file:
                            out.write(f"{task} {name}: {file.read().strip()}\n")
                    except OSError as failure:
                        out.write(f"{task} {name}: {failure}\n")

    def ready(self):
        try:
            return fetch_status(self.admin, "/readyz") == 200
        except OSError:
            return False


class Site:
    def __init__(self, history, work_dir, build, instances=DEFAULT_INSTANCES, rate=RATE,
                 work_s=0.0, stop_grace_s=STOP_GRACE_S, sync_replicas=0):
        """`work_s` is the time that a server takes for each request."""
        self.history = history
        self.limits = {account: RateLimit(rate, BURST) for account in ACCOUNTS}
        self.limits[LIMITED_ACCOUNT] = LOW_LIMIT
        self.platform = Platform(rate, BURST, sync_replicas=sync_replicas)
        self.platform.keys[LIMITED_ACCOUNT] = [f"{LIMITED_ACCOUNT}-key"]
        self.platform.limits[LIMITED_ACCOUNT] = dataclasses.astuple(LOW_LIMIT)
        self.servers = list(self.platform.database.servers.values())
        for server in self.servers:
            server.work_s = work_s
        self.server_proxies = {server.id: Proxy(build, [server.port]) for server in self.servers}
        self.instances = [Instance(number, ZONES[number % len(ZONES)], work_dir, build)
                          for number in range(instances)]
        self.store_proxies = {}
        self.peer_proxies = {}
        for instance in self.instances:
            store = Proxy(build, self.platform.ports_for_instance())
            instance.write_settings(*store.ports, stop_grace_s)
            self.store_proxies[instance.name] = store
            self.peer_proxies[instance.name] = Proxy(build, [instance.peers, instance.gateway])
        self.platform.call(self.prepare)
        for instance in self.instances:
            instance.start()

    async def prepare(self):
        """Records what the servers run, and replaces the addresses in the store by those of the
        proxies."""
        database, store = self.platform.database, self.platform.store
        for server in self.servers:
            server.ran = TimestampedRuns(self.history, server)
            server.answered = RecordedAnswers(self.history, server)
        promote, change, put = database.promote, store.change, store.put

        def recording_promote(server):
            longest = max((other.log for other in self.servers), key=len)
            kept = {data for _, _, data in server.log}
            promote(server)
            if self.platform.sync_replicas == 0:
                self.history.rolled_back |= {data for _, _, data in longest if data not in kept}
            self.resynchronize()

        async def put_with_proxies(kind, name, spec):
            if kind == "servers" and spec is not None:
                port = self.server_proxies[name].ports[0]
                spec = dict(spec, address=f"{LOOPBACK}:{port}")
            await put(kind, name, spec)

        async def change_with_proxies(method, kind, name, body):
            if kind == "oriole-instances" and body:
                instance = body["meta"]["name"]
                peers, gateway = self.peer_proxies[instance].ports
                body["spec"].update(peers=f"{LOOPBACK}:{peers}", gateway=f"{LOOPBACK}:{gateway}")
            return await change(method, kind, name, body)

        database.promote, store.put, store.change = (recording_promote, put_with_proxies,
                                                     change_with_proxies)
        self.history.fences = self.platform.fences
        for server in self.servers:
            await self.platform.register(server)
        await self.platform.publish()

    def resynchronize(self):
        """Copies the primary's log to all other servers that can receive it."""
        leader = self.platform.database.leader
        for server in self.servers:
            receives = server.receiving and not server.paused and not server.dark
            if leader is not None and server is not leader and receives:
                server.log = list(leader.log)
                now = time.monotonic()
                server.received_at = (server.received_at + [now] * len(leader.log))[
                    :len(leader.log)]

    def log(self):
        """The writes in the primary's log; without a primary, in the longest log."""
        database = self.platform.database
        holder = database.leader or max(self.servers, key=lambda server: len(server.log))
        return [Entry(item, data) for _, item, data in list(holder.log) if data is not None]

    def processes(self):
        proxies = [*self.server_proxies.values(), *self.store_proxies.values(),
                   *self.peer_proxies.values()]
        return [proxy.process for proxy in proxies] + [
            instance.process for instance in self.instances if instance.process is not None]

    def restart_ended(self):
        """Records the instances that have ended without an order, and starts them again."""
        for instance in self.instances:
            # A process without a collector could not open its output.
            if instance.ended_by_itself() and not instance.collector.stopped.is_set():
                status = instance.process.returncode
                self.history.own_ends.append((instance.name, status))
                instance.start()

    def stop(self):
        for process in self.processes():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for instance in self.instances:
            instance.collector.stop()
        # Stopping the event loop cancels its tasks. Suppresses the errors it reports for them.
        self.platform.loop.call_soon_threadsafe(self.platform.loop.set_exception_handler,
                                                lambda _loop, _context: None)
        self.platform.stop()
