"""The simulated object store: named objects grouped by kind, one revision counter, watches, and
restores from an older copy."""

import asyncio
import copy

from .http import ReplyRepeats

PREFIX = "/oriolethread/objects/"


class Store(ReplyRepeats):
    def __init__(self):
        super().__init__()
        self.revision = 1
        self.era = 1
        self.objects = {}
        self.history = []
        self.oldest_revision = 0
        self.changed = asyncio.Condition()
        self.down = False
        self.silent_kinds = set()  # kinds whose waiting watches are not cut off by a restore
        self.lost_answers = 0
        self.reply_delay_s = 0.0  # the time that each call takes
        self.calls = 0

    async def put(self, kind, name, spec):
        """Writes an object without a revision check; a spec of None removes the object."""
        objects = self.objects.setdefault(kind, {})
        self.revision += 1
        if spec is None:
            removed = objects.pop(name, None)
            if removed is not None:
                meta = dict(removed["meta"], revision=self.revision)
                self.history.append((self.revision, kind, dict(removed, meta=meta), True))
        else:
            created = objects.get(name, {}).get("meta", {}).get("created", self.revision)
            meta = {"name": name, "revision": self.revision, "created": created,
                    "finalizers": [], "deleting": False}
            objects[name] = {"meta": meta, "spec": spec, "status": None}
            self.history.append((self.revision, kind, objects[name], False))
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        """Discards past changes. Watches that start before the current revision get status 410."""
        self.history = []
        self.oldest_revision = self.revision

    def take_copy(self):
        return self.revision, copy.deepcopy(self.objects)

    async def restore(self, older_copy):
        """Puts the store back to the copy and starts the next era. Revisions after the copy's are
        given out again, and waiting watches are cut off."""
        self.revision, self.objects = older_copy[0], copy.deepcopy(older_copy[1])
        self.era += 1
        self.forget_history()
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, *request):
        answer = await self.answer(*request)
        await asyncio.sleep(self.reply_delay_s)
        return answer and (*answer, {"Store-Era": self.era})

    async def answer(self, method, path, query, _headers, body):
        self.calls += 1
        if self.down:
            return 503, {}
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        if method == "GET" and not name and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if method == "GET" and not name:
            items = sorted(self.objects.get(kind, {}).items())
            items = [item for key, item in items if key > query.get("after", "")]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        answer = await self.change(method, kind, name, body)
        if method != "GET" and self.lost_answers > 0:
            self.lost_answers -= 1
            return None
        return answer

    async def change(self, method, kind, name, body):
        existing = self.objects.get(kind, {}).get(name or (body or {}).get("meta", {}).get("name"))
        if method == "GET":
            return (200, existing) if existing else (404, {})
        if method == "POST":
            name = body["meta"]["name"]
            if existing:
                return 409, existing
            await self.put(kind, name, body["spec"])
            return 201, self.objects[kind][name]
        if existing is None:
            return 404, {}
        if method == "DELETE":
            await self.put(kind, name, None)
            return 200, {}
        expected = body["meta"].get("revision")
        if expected is not None and expected != existing["meta"]["revision"]:
            return 409, existing
        if body["spec"] != existing["spec"]:
            await self.put(kind, name, body["spec"])
        return 200, self.objects[kind][name]

    def is_cut_off(self, kind, era):
        return self.down or (self.era != era and kind not in self.silent_kinds)

    async def watch(self, kind, since, wait_ms):
        if not self.oldest_revision <= since <= self.revision:
            return 410, {}
        era = self.era

        def changes():
            return [entry for entry in self.history if entry[0] > since and entry[1] == kind]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(
                    lambda: self.is_cut_off(kind, era) or (self.era == era and changes())),
                                       wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        if self.era != era:
            return None
        if self.down:
            return 503, {}
        events_found = [{"object": entry[2], "deleted": entry[3]} for entry in changes()]
        return 200, {"events": events_found, "current_rev": self.revision}
