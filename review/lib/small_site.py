"""A small site on loopback: the program of the deploy file as separate processes, and stand-ins of
the store, the promotion service, the servers and the clients."""

import asyncio
import itertools
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standins"))
sys.path.insert(0, os.path.join(ROOT, "tools"))

from oriole_site.http import fetch_status
from oriole_site.processes import LOOPBACK, free_port, wait_until
from users_platform.http import serve_http
from users_platform.store import Store

from database import Database, Server

SERVICE = "db"
ZONES = ("zone-a", "zone-b", "zone-c")
KEYS = {"acme": "acme-key", "kita": "kita-key"}
TX_IDLE_MS = 3000
ANSWER_LIMIT_S = 10.0


class Recorder:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.runs = []

    def write(self, text):
        with self.lock:
            self.out.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.out.flush()

    def ran(self, server, connection, state, request, text, outcome):
        """Records a read, write or commit that a server has run."""
        self.runs.append((server, connection, state, request, text, outcome))
        self.write(f"ran server={server.id} connection={connection} state={state} id={request} "
                   f"text={text!r} outcome={outcome!r}")


class StoreConnection:
    """The writing side of a connection to the store. Once it is silent, nothing arrives any more,
    and it is never closed."""

    def __init__(self, writer):
        self.writer = writer
        self.silent = False

    def write(self, data):
        if not self.silent:
            self.writer.write(data)

    async def drain(self):
        if not self.silent:
            await self.writer.drain()

    def close(self):
        if not self.silent:
            self.writer.close()


class Platform:
    """The store, the promotion service and the servers, in one thread with an event loop."""

    def __init__(self, recorder, sync_replicas=0, servers=ZONES, **server_options):
        self.recorder = recorder
        self.sync_replicas = sync_replicas
        self.server_options = server_options
        self.fence = 0
        self.version = 0
        self.keys = {name: [key] for name, key in KEYS.items()}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.call(self.start, servers)

    def call(self, function, *arguments):
        async def run():
            result = function(*arguments)
            return await result if asyncio.iscoroutine(result) else result

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(timeout=10)

    async def start(self, zones):
        self.store = Store()
        self.database = Database(SERVICE, self.recorder, self.sync_replicas)
        self.writers = []
        self.store_connections = set()
        self.store_port = await self.listen(self.serve_store)
        self.promotion_port = await self.listen(
            lambda reader, writer: serve_http(reader, writer, self.promote))
        self.tasks = []
        for number, zone in enumerate(zones):
            server = Server(self.database, f"i-{number}", zone, **self.server_options)
            await server.listen()
            self.tasks.append(self.loop.create_task(server.replicate()))
        self.database.leader = self.database.servers["i-0"]
        for server in self.database.servers.values():
            await self.register(server)
        await self.publish()

    async def listen(self, handler):
        async def serve(reader, writer):
            self.writers.append(writer)
            await handler(reader, writer)

        listener = await asyncio.start_server(serve, LOOPBACK, 0)
        return listener.sockets[0].getsockname()[1]

    async def register(self, server):
        server.beats += 1
        await self.store.put("servers", server.id, {
            "service": SERVICE, "address": f"{LOOPBACK}:{server.port}", "zone": server.zone,
            "version": "v1", "slots": server.slot_count,
            "state": "draining" if server.draining else "ready", "cold_remaining_ms": 0,
            "db_role": "primary" if server.is_leader else "replica", "seq": server.beats,
            "born": 1})

    async def serve_store(self, reader, writer):
        """Serves a connection to the store until it goes silent."""
        connection = StoreConnection(writer)
        self.store_connections.add(connection)
        try:
            await serve_http(reader, connection, self.store.handle)
        finally:
            self.store_connections.discard(connection)

    def silence_store_connections(self):
        """Lets the open connections to the store go silent for good, without a reset. New ones
        work. Returns their number."""
        for connection in self.store_connections:
            connection.silent = True
        return len(self.store_connections)

    async def publish(self):
        """Writes the next version of the configuration, with the current keys."""
        self.version += 1
        kinds = (("newest", "primary", 0), ("bounded", "bounded_staleness", 1500),
                 ("own", "read_own_writes", 2500))
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": name, "host": name, "path_prefix": "/", "kind": kind,
                        "timeout_ms": 1000, "latency_target_ms": 400, "priority": 1,
                        "service": SERVICE, "max_attempts": 2, "max_staleness_ms": age,
                        "public": False} for name, kind, age in kinds],
            "tenants": [{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 1000,
                         "burst": 1000} for name, keys in self.keys.items()],
            "services": [{"name": SERVICE, "max_conns": 33, "sync_replicas": self.sync_replicas}],
            "limits": {"tx_idle_ms": TX_IDLE_MS}})

    async def promote(self, _method, path, _query, headers, body):
        fence = int(headers["fencing-token"])
        server = self.database.servers.get(body.get("id"))
        accepted = (path == "/promote" and fence >= self.fence and server is not None
                    and server.running)
        self.recorder.write(f"promote holder={headers.get('lease-holder')} fence={fence} "
                            f"id={body.get('id')} accepted={accepted}")
        if not accepted:
            return 409, {}
        self.fence = fence
        if not server.is_leader:
            self.loop.create_task(self.finish_promotion(server))
        return 200, {}

    async def finish_promotion(self, server):
        await self.database.promote(server)
        for other in self.database.servers.values():
            if other.running:
                await self.register(other)

    def stop(self):
        async def cancel():
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            servers = self.database.servers.values()
            for writer in self.writers + [w for server in servers for w in server.connections]:
                writer.transport.abort()
            await asyncio.sleep(0.1)

        self.call(cancel)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


class Instance:
    """One process of the program that the deploy file names, with its filled-in settings."""

    def __init__(self, name, zone, platform, work_dir):
        self.name, self.work_dir = name, work_dir
        self.callers, self.admin, peers, gateway = (free_port() for _ in range(4))
        values = {"node": name, "zone": zone, "listen.front": f"{LOOPBACK}:{self.callers}",
                  "listen.ready": f"{LOOPBACK}:{self.admin}", "ip": LOOPBACK,
                  "port_range.0": str(peers), "port_range.1": str(gateway),
                  "limits.cpu_share": "0.25",
                  "platform.address": f"{LOOPBACK}:{platform.store_port}",
                  "cloud.address": f"{LOOPBACK}:{platform.promotion_port}",
                  "bounds.grace_s": "6", "bounds.fencing_enforced": "true"}
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as template:
            text = template.read()
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", ",".join(ZONES), text)
        text = re.sub(r"\{\{(.*?)\}\}", lambda field: values[field.group(1)], text)
        self.settings = os.path.join(work_dir, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            command = re.search(r'^run = "(.*)"$', deploy.read(), re.MULTILINE).group(1).split()
        log = os.path.join(self.work_dir, f"{self.name}.log")
        with open(log, "a", encoding="utf-8") as out:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out,
                                            env={**os.environ, "ORIOLETHREAD_BOOT": self.settings})

    def stop(self, grace_s):
        """Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time."""
        self.process.terminate()
        try:
            self.process.wait(timeout=grace_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def ready(self):
        try:
            return fetch_status(self.admin, "/readyz") == 200
        except OSError:
            return False


class Site:
    """The platform and the instances of all zones; a context manager that ends what it started."""

    def __init__(self, recorder, work_dir, instance_zones, **platform_options):
        self.recorder = recorder
        self.platform = Platform(recorder, **platform_options)
        self.instances = [Instance(f"front-{zone}-{number}", zone, self.platform, work_dir)
                          for number, zone in enumerate(instance_zones)]

    def __enter__(self):
        for instance in self.instances:
            instance.start()
        try:
            for instance in self.instances:
                wait_until(instance.ready, 20, f"readiness of {instance.name}")
        except BaseException:
            self.__exit__()
            raise
        # The list of instances settles within a second of the last registration.
        time.sleep(2.0)
        return self

    def __exit__(self, *_failure):
        for instance in self.instances:
            instance.kill()
        self.platform.stop()


class Answer:
    def __init__(self, rows, signature, error, state):
        self.rows, self.signature, self.error, self.state = rows, signature, error, state

    @property
    def ok(self):
        return self.error is None


class Session:
    """A client's session, which sends one statement at a time and records it."""

    ids = itertools.count(1)

    def __init__(self, recorder, name, instance, database, key):
        self.recorder, self.name = recorder, name
        self.socket = socket.create_connection((LOOPBACK, instance.callers), timeout=ANSWER_LIMIT_S)
        self.input = self.socket.makefile("rb")
        self.send(f"CONNECT {database} {key}")
        greeting = self.line()
        self.recorder.write(f"client={name} connected to={instance.name} answer={greeting!r}")
        if not greeting.startswith("READY"):
            raise ConnectionError(greeting)

    def send(self, text):
        self.socket.sendall(text.encode() + b"\r\n")

    def line(self):
        line = self.input.readline()
        if not line:
            raise ConnectionError("closed")
        return line.decode("latin-1").rstrip("\r\n")

    def next_id(self):
        return f"{self.name}.{next(Session.ids):x}"

    def run(self, text, request=None):
        """Sends a statement; returns its answer. Raises OSError when the session breaks."""
        request = request or self.next_id()
        self.recorder.write(f"client={self.name} sent id={request} text={text!r}")
        rows, signature, error = [], None, None
        try:
            self.send(f"QUERY {request} {text}")
            while True:
                word, _, rest = self.line().partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    signature = rest
                elif word == "ERROR":
                    error = rest.split(" ")[0]
                elif word == "READY":
                    answer = Answer(rows, signature, error, rest.split(" ")[0])
                    break
        except OSError as failure:
            self.recorder.write(f"client={self.name} id={request} no answer: {failure}")
            raise
        self.recorder.write(f"client={self.name} answered id={request} rows={rows} "
                            f"complete={signature} error={error} state={answer.state}")
        return answer

    def close(self):
        self.input.close()
        self.socket.close()
