"""Stand-in of one database service: a primary, its replicas, and the wire protocol they speak.

A server has execution slots. A new connection, a read, a write, a commit and STATUS each take a
slot; when the queue for slots is full, the answer is BUSY. Commits get the next number of the log,
replicas receive them over the network and apply them later. With `sync_replicas` = 1, a commit is
acknowledged once one replica has received it.
"""

import asyncio
import itertools
import time

LOOPBACK = "127.0.0.1"
PROMOTE_S = 0.3


class Entry:
    def __init__(self, term, item=None, data=None, request=None):
        self.term, self.item, self.data, self.request = term, item, data, request


class Database:
    def __init__(self, name, recorder, sync_replicas=0, max_connections=33):
        self.name = name
        self.recorder = recorder
        self.sync_replicas = sync_replicas
        self.max_connections = max_connections
        self.servers = {}
        self.term = 1
        self.leader = None
        self.changed = asyncio.Condition()
        self.promotions = []  # (time, server id, requests whose entries the server's log has)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def promote(self, server):
        """Makes `server` the leader of the next term with what it has received."""
        await asyncio.sleep(PROMOTE_S)
        if self.leader is server or not server.running:
            return
        self.term += 1
        kept = len(server.log)
        lost = [entry for other in self.servers.values() for entry in other.log[kept:]]
        for other in self.servers.values():
            if other is not server:
                del other.log[kept:], other.received_at[kept:]
                other.receiving = True
        self.leader = server
        server.receiving = True
        server.log.append(Entry(self.term))
        server.received_at.append(0.0)
        self.promotions.append((time.monotonic(), server.id, {entry.request for entry in server.log}))
        self.recorder.write(f"promoted server={server.id} term={self.term} log={kept} "
                            f"rolled_back={sorted({e.request for e in lost if e.request})}")
        await self.notify()


class Server:
    """One backend server of the service."""

    def __init__(self, database, server_id, zone, slots=3, queue=24, read_s=0.004,
                 write_s=0.004, handshake_s=0.012, lag_s=0.008):
        self.database, self.id, self.zone = database, server_id, zone
        self.slot_count, self.queue_limit = slots, queue
        self.handshake_s, self.lag_s = handshake_s, lag_s
        self.work_s = {"READ": read_s, "WRITE": write_s, "COMMIT": write_s, "STATUS": 0.001}
        self.log = [Entry(1)]
        self.received_at = [0.0]
        self.receiving = True
        self.running = True
        self.draining = False
        self.free_slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.beats = 0
        self.port = 0
        self.listener = None
        self.connections = set()
        self.numbers = itertools.count(1)
        database.servers[server_id] = self

    @property
    def is_leader(self):
        return self.database.leader is self

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.running = True

    def crash(self):
        """Stops serving and drops all connections; the log stays."""
        self.running = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def replicate(self):
        """Receives the leader's log, as long as the server runs and may receive."""
        while True:
            leader = self.database.leader
            if (self.running and self.receiving and leader is not None and leader is not self
                    and leader.running and len(self.log) < len(leader.log)):
                fresh = leader.log[len(self.log):]
                await asyncio.sleep(0.001)
                if self.database.leader is leader and self.receiving and leader.running:
                    self.log.extend(fresh)
                    self.received_at.extend([time.monotonic()] * len(fresh))
                    await self.database.notify()
                continue
            await asyncio.sleep(0.002)

    def applied(self):
        if self.is_leader:
            return len(self.log)
        limit = time.monotonic() - self.lag_s
        count = len(self.log)
        while count > 1 and self.received_at[count - 1] > limit:
            count -= 1
        return count

    def position(self):
        count = self.applied()
        return self.log[count - 1].term, count

    async def take_slot(self, work_s):
        """Works for `work_s` in a slot; returns False (BUSY) when the queue is full."""
        if self.free_slots.locked() and self.waiting >= self.queue_limit:
            return False
        self.waiting += 1
        await self.free_slots.acquire()
        self.waiting -= 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.free_slots.release()
        return True

    async def commit(self, writes, request):
        """Appends the writes; returns once they are durable as the service demands."""
        for item, data in writes:
            self.log.append(Entry(self.database.term, item, data, request))
            self.received_at.append(time.monotonic())
        own = self.log[-1]
        while self.database.sync_replicas and self.is_leader:
            if any(own in other.log for other in self.database.servers.values()
                   if other is not self):
                break
            async with self.database.changed:
                await self.database.changed.wait()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer, f"{self.id}#{next(self.numbers)}").run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """A connection of the system to a server. State: I, T (in a transaction), E (failed)."""

    def __init__(self, server, reader, writer, name):
        self.server, self.reader, self.writer, self.name = server, reader, writer, name
        self.transactions = 0
        self.state, self.read_write, self.writes = "I", False, []
        self.values, self.prepared = {}, {}

    async def line(self):
        return (await self.reader.readuntil(b"\r\n")).decode("latin-1").rstrip("\r\n")

    async def send(self, text):
        self.writer.write(text.encode("latin-1"))
        await self.writer.drain()

    def ready(self):
        term, number = self.server.position()
        return f"READY {self.state} {term}.{number}\r\n"

    async def run(self):
        server = self.server
        words = (await self.line()).split(" ")
        if words[0] != "CONNECT" or words[1] != server.database.name or (
                len(words) > 3 and words[3] != server.id):
            return await self.send(f"ERROR WRONGNODE {server.id}\r\n")
        if len(server.connections) > server.database.max_connections:
            return await self.send(f"ERROR CONNLIMIT {server.id}\r\n")
        if not await server.take_slot(server.handshake_s):
            return await self.send(f"ERROR BUSY {server.id}\r\n")
        await self.send(self.ready())
        while True:
            line = await self.line()
            if line == "TERMINATE":
                return None
            _, request, text = line.split(" ", 2)
            answer = await self.execute(request, text)
            await self.send(answer + self.ready())

    def fail(self, code):
        if self.state == "T":
            self.state, self.writes = "E", []
        return f"ERROR {code} {self.server.id}\r\n"

    def record(self, request, text, outcome):
        place = f"{self.name}/{self.transactions if self.state == 'T' else '-'}"
        self.server.database.recorder.ran(self.server, place, self.state, request, text, outcome)

    async def execute(self, request, text):
        server = self.server
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = map(int, words[1].split("."))
            if server.position() < (term, number):
                return self.fail("LAGGING")
            words = words[2:]
            text = " ".join(words)
        if self.state == "E" and words[0] != "ROLLBACK":
            return self.fail("MALFORMED")
        verb = words[0]
        if verb == "EXECUTE":
            prepared = self.prepared.get(words[1])
            if prepared is None:
                return self.fail("UNKNOWN")
            verb, words = prepared[0], [prepared[0]] + words[2:]
        work_s = server.work_s.get(verb)
        if work_s is not None and not await server.take_slot(work_s):
            self.server.database.recorder.write(f"busy server={server.id} text={text!r}")
            return self.fail("BUSY")
        return await getattr(self, "do_" + verb.lower())(request, words, text)

    def signed(self, request, row=None):
        rows = "" if row is None else f"DATAROW {row}\r\n"
        return f"{rows}COMPLETE signed-{self.server.id}-{request}\r\n"

    async def do_begin(self, _request, words, _text):
        if len(words) == 1 and not self.server.is_leader:
            return self.fail("READONLY")
        self.transactions += 1
        self.state, self.read_write, self.writes = "T", len(words) == 1, []
        return "COMPLETE -\r\n"

    async def do_rollback(self, _request, _words, _text):
        self.state, self.writes = "I", []
        return "COMPLETE -\r\n"

    async def do_commit(self, request, _words, text):
        if self.writes and not self.server.is_leader:
            return self.fail("READONLY")
        writes, self.writes = self.writes, []
        if writes:
            await self.server.commit(writes, request)
        self.record(request, text, f"committed {writes}")
        self.state = "I"
        return self.signed(request)

    async def do_read(self, request, words, text):
        if self.state == "T" and self.read_write and not self.server.is_leader:
            return self.fail("READONLY")
        data = dict(self.writes).get(words[1])
        if data is None:
            for entry in reversed(self.server.log[: self.server.applied()]):
                if entry.item == words[1]:
                    data = entry.data
                    break
        self.record(request, text, f"row {data}")
        return self.signed(request, data)

    async def do_write(self, request, words, text):
        if not self.server.is_leader:
            return self.fail("READONLY")
        if self.state == "T":
            self.writes.append((words[1], words[2]))
            self.record(request, text, "in transaction")
        else:
            await self.server.commit([(words[1], words[2])], request)
            self.record(request, text, "committed")
        return self.signed(request)

    async def do_set(self, _request, words, _text):
        self.values[words[1]] = " ".join(words[2:])
        return "COMPLETE -\r\n"

    async def do_reset(self, _request, _words, _text):
        self.values, self.prepared = {}, {}
        return "COMPLETE -\r\n"

    async def do_prepare(self, _request, words, _text):
        self.prepared[words[1]] = words[2:]
        return "COMPLETE -\r\n"

    def status(self):
        server = self.server
        role = "primary" if server.is_leader else "replica"
        term = server.log[-1].term
        busy = server.slot_count - server.free_slots._value
        return (f"DATAROW {role} {term} {term}.{len(server.log)} 0 0 {busy} "
                f"{len(server.connections)}\r\nCOMPLETE -\r\n")

    async def do_status(self, _request, _words, _text):
        answer = self.status()
        self.server.database.recorder.write(f"status server={self.server.id} answer={answer!r}")
        return answer

    async def do_stepdown(self, _request, words, _text):
        if self.server.is_leader and int(words[1]) > self.server.database.term:
            self.server.database.leader = None
        return self.status()
