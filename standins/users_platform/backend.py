"""One backend server: a log with terms, sessions with values and prepared names, faults."""

import asyncio
import time


class Database:
    """A service's servers. The leader's log is the truth; replicas apply it later."""

    def __init__(self, name, max_connections=21):
        self.name = name
        self.max_connections = max_connections
        self.servers = {}
        self.term = 1
        self.leader = None

    def promote(self, server):
        self.term += 1
        for other in self.servers.values():
            other.log = other.log[: len(server.log)]
            other.received_at = other.received_at[: len(server.log)]
        self.leader = server
        server.log.append((self.term, None, None))
        server.received_at.append(0.0)


class Backend:
    def __init__(self, database, server_id, zone):
        self.database = database
        self.id = server_id
        self.zone = zone
        self.log = [(1, None, None)]
        self.received_at = [0.0]
        self.lag_s = 0.0
        self.dark = False
        self.lost_answers = 0
        self.ran = []
        self.connections = set()
        self.port = 0
        self.listener = None
        database.servers[server_id] = self

    @property
    def leads(self):
        return self.database.leader is self

    def applied(self):
        """How many entries of the log reads see."""
        if self.leads:
            return len(self.log)
        now = time.monotonic()
        return sum(1 for at in self.received_at if at + self.lag_s <= now)

    def position(self):
        count = self.applied()
        return (self.log[count - 1][0], count)

    def append(self, item, data):
        self.log.append((self.database.term, item, data))
        self.received_at.append(time.monotonic())
        for other in self.database.servers.values():
            if other is not self and not other.dark:
                other.log.append(self.log[-1])
                other.received_at.append(time.monotonic())

    def read(self, item):
        for term, name, data in reversed(self.log[: self.applied()]):
            if name == item:
                return data
        return None

    def crash(self):
        """Ends all connections and listens no more; the log stays."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """One session at a server."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.tenant = None
        self.values = {}
        self.prepared = {}
        self.state = "I"
        self.plain = False
        self.staged = []

    async def run(self):
        first = (await self.reader.readuntil(b"\r\n")).decode().rstrip().split(" ")
        if first[0] != "CONNECT" or first[1] != self.server.database.name or (
                len(first) > 3 and first[3] != self.server.id):
            return await self.send("ERROR WRONGNODE x\r\n")
        if len(self.server.connections) > self.server.database.max_connections:
            return await self.send("ERROR CONNLIMIT x\r\n")
        self.tenant = first[2]
        await self.ready()
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            if line == "TERMINATE":
                return None
            while self.server.dark:
                await asyncio.sleep(0.02)
            _, request_id, text = line.split(" ", 2)
            answer = self.execute(request_id, text)
            if request_id != "-" and self.server.lost_answers > 0:
                self.server.lost_answers -= 1
                continue
            await self.send(answer)
            await self.ready()

    async def send(self, text):
        self.writer.write(text.encode())
        await self.writer.drain()

    async def ready(self):
        term, number = self.server.position()
        await self.send(f"READY {self.state} {term}.{number}\r\n")

    def fail(self, code):
        if self.state == "T":
            self.state = "E"
            self.staged = []
        return f"ERROR {code} {self.server.id}\r\n"

    def execute(self, request_id, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = map(int, words[1].split("."))
            if self.server.position() < (term, number):
                return self.fail("LAGGING")
            words = words[2:]
        if self.state == "E" and words[0] != "ROLLBACK":
            return self.fail("MALFORMED")
        handler = getattr(self, "do_" + words[0].lower(), None)
        if handler is None:
            return self.fail("MALFORMED")
        return handler(request_id, words)

    def note(self, request_id, words):
        self.server.ran.append((request_id, self.tenant, words, self.state, dict(self.values)))

    def signed(self, request_id, rows=()):
        rows = "".join(f"DATAROW {row}\r\n" for row in rows)
        return f"{rows}COMPLETE signed-{self.server.id}-{request_id}\r\n"

    def do_begin(self, _request_id, words):
        plain = len(words) == 1
        if plain and not self.server.leads:
            return self.fail("READONLY")
        self.state, self.plain, self.staged = "T", plain, []
        return "COMPLETE -\r\n"

    def do_rollback(self, _request_id, _words):
        self.state, self.staged = "I", []
        return "COMPLETE -\r\n"

    def do_commit(self, request_id, words):
        self.note(request_id, words)
        if self.staged and not self.server.leads:
            return self.fail("READONLY")
        for item, data in self.staged:
            self.server.append(item, data)
        self.state, self.staged = "I", []
        return self.signed(request_id)

    def do_read(self, request_id, words):
        if self.state == "T" and self.plain and not self.server.leads:
            return self.fail("READONLY")
        self.note(request_id, words)
        staged = dict(self.staged)
        return self.signed(request_id, [staged.get(words[1]) or self.server.read(words[1])])

    def do_write(self, request_id, words):
        if not self.server.leads:
            return self.fail("READONLY")
        self.note(request_id, words)
        if self.state == "T":
            self.staged.append((words[1], words[2]))
        else:
            self.server.append(words[1], words[2])
        return self.signed(request_id)

    def do_set(self, _request_id, words):
        self.values[words[1]] = words[2]
        return "COMPLETE -\r\n"

    def do_reset(self, _request_id, _words):
        self.values, self.prepared = {}, {}
        return "COMPLETE -\r\n"

    def do_prepare(self, _request_id, words):
        self.prepared[words[1]] = words[2:]
        return "COMPLETE -\r\n"

    def do_execute(self, request_id, words):
        known = self.prepared.get(words[1])
        if known is None:
            return self.fail("UNKNOWN")
        handler = self.do_read if known[0] == "READ" else self.do_write
        return handler(request_id, [known[1]] + words[2:])

    def do_status(self, _request_id, _words):
        server = self.server
        role = "primary" if server.leads else "replica"
        term = server.log[-1][0]
        row = f"{role} {term} {term}.{len(server.log)} 0 0 0 {len(server.connections)}"
        return f"DATAROW {row}\r\nCOMPLETE -\r\n"

    def do_stepdown(self, request_id, words):
        if self.server.leads and int(words[1]) > self.server.database.term:
            self.server.database.leader = None
        return self.do_status(request_id, words)
