"""A simulated backend server: its log, sessions with prepared statements, and injected faults."""

import asyncio
import random
import time

DURABILITY_CHECK_S = 0.005
# Messages are text in which every byte may stand, so each byte is one character.
ENCODING = "latin-1"
LINE_END = b"\r\n"
# The number of fields of a statement's text, with the verb. The last field extends to the end.
STATEMENT_FIELDS = {"READ": 2, "WRITE": 3, "SET": 3, "PREPARE": 4, "EXECUTE": 4}


def split_statement(text):
    """The fields of a statement's text. The last one may contain blanks."""
    verb, _, _ = text.partition(" ")
    return text.split(" ", STATEMENT_FIELDS.get(verb, 2) - 1)


class Database:
    """The backend servers of one service. The leader's log is authoritative; replicas receive its
    entries at once and apply them after their lag. Unless `fenced`, a replaced leader goes on
    accepting writes until it is told to step down; its replicas do not receive these. With
    `sync_replicas`, a commit is acknowledged once a replica has received it."""

    def __init__(self, name, max_connections=21, fenced=True, sync_replicas=0):
        self.name = name
        self.fenced = fenced
        self.sync_replicas = sync_replicas
        self.replaced_leaders = set()
        self.max_connections = max_connections
        self.servers = {}
        self.term = 1
        self.leader = None

    def promote(self, server):
        """Makes a server the leader of a new term. Truncates the other logs to its length."""
        self.term += 1
        if not self.fenced and self.leader is not None:
            self.replaced_leaders.add(self.leader)
        self.replaced_leaders.discard(server)
        for other in self.servers.values():
            if other in self.replaced_leaders:
                continue
            other.paused = False
            other.log = other.log[: len(server.log)]
            other.received_at = other.received_at[: len(server.log)]
        self.leader = server
        server.log.append((self.term, None, None))
        server.received_at.append(0.0)
        server.replicate()


class Backend:
    """One backend server. Log entries are (term, item, data).

    `work_s` is the time that each request takes.

    Faults: `lag_s` is the replication lag, `dark` leaves all requests unanswered, without
    `receiving` a replica receives no entries, without `can_pause` PAUSE closes the connection, and
    the next `lost_answers` requests that have an id are executed but not answered. The next
    `repeated_answers` answers that begin with `repeated_word` are sent a second time,
    `repeat_delay_s` after the first, with `repeat_state` and `repeat_position` unless these are
    empty. The next `busy_answers` requests that have an id, and the share `busy_share` of the
    others, are refused as busy. `ran` records the executed statements as (request id, account,
    words, transaction state, session values), `answered` their successes as (request id, rows),
    `arrived` the ids of all requests as they arrive."""

    def __init__(self, database, server_id, zone):
        self.database = database
        self.id = server_id
        self.zone = zone
        self.log = [(1, None, None)]
        self.received_at = [0.0]
        self.lag_s = 0.0
        self.dark = False
        self.receiving = True
        self.can_pause = True
        self.paused = False  # told to receive nothing until the next promotion
        self.work_s = 0.0
        self.arrived = []
        self.lost_answers = 0
        self.repeated_answers = 0
        self.repeat_delay_s = 0.0
        self.busy_share = 0.0
        self.repeated_word = ""
        self.repeat_state = ""
        self.repeat_position = ""
        self.busy_answers = 0
        self.writes = 0  # entries written to the store
        self.state = "ready"
        self.ran = []
        self.answered = []
        self.connections = set()
        self.sessions = set()
        self.port = 0
        self.listener = None
        database.servers[server_id] = self

    @property
    def is_leader(self):
        return self.database.leader is self or self in self.database.replaced_leaders

    def applied_count(self):
        """Number of log entries that reads see: at the leader all, at a replica those whose lag is
        over."""
        if self.is_leader:
            return len(self.log)
        now = time.monotonic()
        return sum(1 for received in self.received_at if received + self.lag_s <= now)

    def position(self):
        count = self.applied_count()
        return (self.log[count - 1][0], count)

    def append(self, item, data):
        replaced = self in self.database.replaced_leaders
        self.log.append((self.log[-1][0] if replaced else self.database.term, item, data))
        self.received_at.append(time.monotonic())
        if not replaced:
            self.replicate()

    def replicate(self):
        """Sends the other servers what they lack of this log."""
        now = time.monotonic()
        for other in self.database.servers.values():
            receives = other.receiving and not other.paused and not other.dark
            if other is not self and receives and other not in self.database.replaced_leaders:
                missing = self.log[len(other.log):]
                other.log.extend(missing)
                other.received_at.extend([now] * len(missing))

    def is_durable(self):
        """Whether as many replicas as the service demands have received the whole log."""
        holders = sum(other.log[:len(self.log)] == self.log
                      for other in self.database.servers.values() if other is not self)
        return holders >= self.database.sync_replicas

    def read(self, item):
        for term, name, data in reversed(self.log[: self.applied_count()]):
            if name == item:
                return data
        return None

    def crash(self):
        """Aborts all connections and stops listening; keeps the log."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        session = Connection(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.sessions.discard(session)
            self.connections.discard(writer)
            writer.close()


class Connection:
    """One session at a backend server.

    `state` is "I" (idle), "T" (in a transaction) or "E" (in a failed transaction)."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.account = None
        self.values = {}
        self.prepared = {}
        self.state = "I"
        self.read_write = False
        self.uncommitted_writes = []

    async def run(self):
        first = (await self.line()).split(" ")
        if first[0] != "CONNECT" or first[1] != self.server.database.name or (
                len(first) > 3 and first[3] != self.server.id):
            return await self.send("ERROR WRONGNODE x\r\n")
        if len(self.server.connections) > self.server.database.max_connections:
            return await self.send("ERROR CONNLIMIT x\r\n")
        self.account = first[2]
        await self.answer("")
        while True:
            line = await self.line()
            if line == "TERMINATE":
                return None
            self.server.arrived.append(line.split(" ", 2)[1])
            while self.server.dark:
                await asyncio.sleep(0.02)
            if self.server.work_s > 0:
                await asyncio.sleep(self.server.work_s)
            _, request_id, text = line.split(" ", 2)
            entries = len(self.server.log)
            if request_id != "-" and self.server.busy_answers > 0:
                self.server.busy_answers -= 1
                answer = self.fail_statement("BUSY")
            else:
                answer = self.execute(request_id, text)
            if len(self.server.log) > entries:
                await self.wait_until_durable()
            if request_id != "-" and self.server.lost_answers > 0:
                self.server.lost_answers -= 1
                continue
            await self.answer(answer)

    async def line(self):
        return (await self.reader.readuntil(LINE_END))[:-len(LINE_END)].decode(ENCODING)

    async def wait_until_durable(self):
        """Waits until enough replicas have received the log. A commit that is still waiting when the
        server is replaced gets no answer."""
        while self.server.is_leader:
            if self.server.is_durable():
                return
            await asyncio.sleep(DURABILITY_CHECK_S)
            self.server.replicate()
        raise ConnectionError("replaced as the leader")

    async def send(self, text):
        self.writer.write(text.encode(ENCODING))
        await self.writer.drain()

    async def answer(self, text):
        """Sends an answer, and the state and position after it."""
        server = self.server
        term, number = server.position()
        position = f"{term}.{number}"
        whole = text + f"READY {self.state} {position}\r\n"
        if server.repeated_answers > 0 and whole.startswith(server.repeated_word):
            server.repeated_answers -= 1
            text += f"READY {server.repeat_state or self.state} {server.repeat_position or position}\r\n"
            asyncio.get_running_loop().call_later(server.repeat_delay_s, self.repeat, text)
        await self.send(whole)

    def repeat(self, text):
        if self in self.server.sessions:
            self.writer.write(text.encode(ENCODING))

    def fail_statement(self, code):
        """Returns an error answer. Fails the open transaction, if any, and discards its writes."""
        if self.state == "T":
            self.state = "E"
            self.uncommitted_writes = []
        return f"ERROR {code} {self.server.id}\r\n"

    def execute(self, request_id, text):
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            if self.server.position() < (term, number):
                return self.fail_statement("LAGGING")
        words = split_statement(text)
        if self.state == "E" and words[0] != "ROLLBACK":
            return self.fail_statement("MALFORMED")
        if request_id != "-" and random.random() < self.server.busy_share:
            return self.fail_statement("BUSY")
        handler = getattr(self, "do_" + words[0].lower(), None)
        if handler is None:
            return self.fail_statement("MALFORMED")
        try:
            return handler(request_id, words)
        except IndexError:  # A field is missing.
            return self.fail_statement("MALFORMED")

    def record_execution(self, request_id, words):
        self.server.ran.append((request_id, self.account, words, self.state, dict(self.values)))

    def complete(self, request_id, rows=()):
        """Returns an answer with rows, signed with the ids of the server and the request."""
        self.server.answered.append((request_id, [str(row) for row in rows]))
        rows = "".join(f"DATAROW {row}\r\n" for row in rows)
        return f"{rows}COMPLETE signed-{self.server.id}-{request_id}\r\n"

    def do_begin(self, _request_id, words):
        read_write = len(words) == 1
        if read_write and not self.server.is_leader:
            return self.fail_statement("READONLY")
        self.state, self.read_write, self.uncommitted_writes = "T", read_write, []
        return "COMPLETE -\r\n"

    def do_rollback(self, _request_id, _words):
        self.state, self.uncommitted_writes = "I", []
        return "COMPLETE -\r\n"

    def do_commit(self, request_id, words):
        self.record_execution(request_id, words)
        if self.uncommitted_writes and not self.server.is_leader:
            return self.fail_statement("READONLY")
        for item, data in self.uncommitted_writes:
            self.server.append(item, data)
        self.state, self.uncommitted_writes = "I", []
        return self.complete(request_id)

    def do_read(self, request_id, words):
        if self.state == "T" and self.read_write and not self.server.is_leader:
            return self.fail_statement("READONLY")
        self.record_execution(request_id, words)
        uncommitted = dict(self.uncommitted_writes)
        return self.complete(request_id, [uncommitted.get(words[1]) or self.server.read(words[1])])

    def do_write(self, request_id, words):
        if not self.server.is_leader:
            return self.fail_statement("READONLY")
        self.record_execution(request_id, words)
        if self.state == "T":
            self.uncommitted_writes.append((words[1], words[2]))
        else:
            self.server.append(words[1], words[2])
        return self.complete(request_id)

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
        statement = self.prepared.get(words[1])
        if statement is None:
            return self.fail_statement("UNKNOWN")
        handler = self.do_read if statement[0] == "READ" else self.do_write
        return handler(request_id, [statement[1]] + words[2:])

    def do_status(self, _request_id, _words):
        server = self.server
        role = "primary" if server.is_leader else "replica"
        term = server.log[-1][0]
        row = f"{role} {term} {term}.{len(server.log)} 0 0 0 {len(server.connections)}"
        return f"DATAROW {row}\r\nCOMPLETE -\r\n"

    def do_pause(self, request_id, words):
        if not self.server.can_pause:
            raise ConnectionError("unknown command")
        if not self.server.is_leader and int(words[1]) > self.server.database.term:
            self.server.paused = True
        return self.do_status(request_id, words)

    def do_resume(self, request_id, words):
        self.server.paused = False
        return self.do_status(request_id, words)

    def do_stepdown(self, request_id, words):
        database = self.server.database
        if self.server in database.replaced_leaders:
            database.replaced_leaders.discard(self.server)
        elif self.server.is_leader and int(words[1]) > database.term:
            database.leader = None
        return self.do_status(request_id, words)
