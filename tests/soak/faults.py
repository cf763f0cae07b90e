"""Faults that the soak injects into processes, network links and stand-ins. Each has a start and
an end."""

import asyncio
import signal
import subprocess
import threading
import time

from repeats import Repeats
from site_under_soak import STOP_GRACE_S

# Share of restores of the store among the faults, where they are wanted.
RESTORE_SHARE = 0.25
# The same for answers that are sent twice.
REPEAT_SHARE = 0.7
# The longest time until the operator and the servers write again what a restored store has lost.
MAX_REWRITE_DELAY_S = 1.0


class Faults:
    """Starts faults chosen by a seeded generator. Each do_ method starts one fault and returns the
    function that ends it, or None when it cannot start."""

    prefix = "do_"  # of the methods among which the generator chooses

    def __init__(self, site, random, with_restores=False, with_repeats=False):
        self.site = site
        self.random = random
        self.with_restores = with_restores
        self.repeats = Repeats(self) if with_repeats else None
        self.kinds = [getattr(self, name) for name in sorted(dir(self))
                      if name.startswith(self.prefix)]
        self.reserved = set()  # targets of active faults; two faults never have the same target
        self.evacuated = set()  # zones that the operator has taken out
        self.lock = threading.Lock()

    def reserve(self, candidates):
        free = [candidate for candidate in candidates if candidate not in self.reserved]
        if not free:
            return None
        chosen = self.random.choice(free)
        self.reserved.add(chosen)
        return chosen

    def start_random(self):
        """Starts a fault of a random kind; returns its name and the function that ends it. Returns
        None when that kind has no free target."""
        kind = self.choose_kind()
        end = kind()
        return (kind.__name__.removeprefix(self.prefix), end) if end is not None else None

    def choose_kind(self):
        # Without the options, a seed gives the same faults as before there were any.
        if self.with_restores and self.random.random() < RESTORE_SHARE:
            return self.restore_store
        if self.repeats is not None and self.random.random() < REPEAT_SHARE:
            return self.random.choice(self.repeats.kinds)
        return self.random.choice(self.kinds)

    def reserve_instance(self):
        return self.reserve(self.site.instances)

    def release(self, target):
        self.reserved.discard(target)

    def do_kill_and_restart(self):
        instance = self.reserve_instance()
        if instance is None:
            return None
        self.kill(instance)

        def end():
            instance.start()
            self.release(instance)

        return end

    def kill(self, instance):
        self.site.history.kills.append((instance.name, time.monotonic()))
        instance.signal(signal.SIGKILL)
        instance.process.wait()

    def do_planned_stop(self):
        return self.planned_stop(lambda instance: instance.start())

    def planned_stop(self, restart):
        """Stops an instance with SIGTERM; `restart` starts it again when it has ended."""
        instance = self.reserve_instance()
        if instance is None or not instance.ready():
            self.release(instance)
            return None
        at = time.monotonic()
        instance.signal(signal.SIGTERM)

        def end():
            self.wait_for_stop(instance, at)
            restart(instance)
            self.release(instance)

        return end

    def wait_for_stop(self, instance, at):
        limit = max(at + STOP_GRACE_S + 2 - time.monotonic(), 0.1)
        try:
            status = instance.process.wait(timeout=limit)
        except subprocess.TimeoutExpired:
            status = None
            instance.record_threads()
            self.kill(instance)
        self.site.history.planned_stops.append((instance.name, at, status))

    def do_pause(self):
        instance = self.reserve_instance()
        if instance is None:
            return None
        instance.signal(signal.SIGSTOP)

        def end():
            instance.signal(signal.SIGCONT)
            self.release(instance)

        return end

    def do_hangup(self):
        instance = self.reserve_instance()
        if instance is None:
            return None
        if instance.handles_signals():
            instance.signal(signal.SIGHUP)
        return lambda: self.release(instance)

    def impair_link(self, proxies, **faults):
        proxy = self.reserve(list(proxies.values()))
        if proxy is None:
            return None
        proxy.set(**faults)

        def end():
            proxy.set()
            self.release(proxy)

        return end

    def do_store_link_silent(self):
        return self.impair_link(self.site.store_proxies, drop_to_target=True, drop_to_client=True)

    def do_store_link_one_way(self):
        return self.impair_link(self.site.store_proxies, drop_to_client=True)

    def do_store_link_cut(self):
        return self.impair_link(self.site.store_proxies, cut=True)

    def do_peer_link_silent(self):
        return self.impair_link(self.site.peer_proxies, drop_to_target=True, drop_to_client=True)

    def do_peer_link_one_way(self):
        return self.impair_link(self.site.peer_proxies, drop_to_client=True)

    def do_peer_link_slow(self):
        return self.impair_link(self.site.peer_proxies, delay_ms=80, jitter_ms=60)

    def do_server_link_silent(self):
        return self.impair_link(self.site.server_proxies, drop_to_target=True, drop_to_client=True)

    def do_server_link_one_way(self):
        return self.impair_link(self.site.server_proxies, drop_to_client=True)

    def do_server_link_cut(self):
        return self.impair_link(self.site.server_proxies, cut=True)

    def do_server_link_slow(self):
        return self.impair_link(self.site.server_proxies, delay_ms=40, jitter_ms=40)

    def do_server_crash(self):
        return self.crash_server(self.site.servers)

    def crash_server(self, candidates):
        server = self.reserve(candidates)
        if server is None:
            return None
        platform = self.site.platform
        platform.call(server.crash)
        platform.call(platform.store.put, "servers", server.id, None)

        def end():
            platform.call(platform.start_server, server)
            platform.call(self.site.resynchronize)
            platform.call(platform.register, server)
            self.release(server)

        return end

    def do_replica_lag(self):
        server = self.reserve(self.site.servers)
        if server is None:
            return None
        server.lag_s = self.random.uniform(0.1, 2.0)

        def end():
            server.lag_s = 0.0
            self.release(server)

        return end

    def do_lost_answers(self):
        server = self.reserve(self.site.servers)
        if server is None:
            return None
        server.lost_answers = self.random.randint(1, 4)
        return lambda: self.release(server)

    def do_store_down(self):
        store = self.reserve([self.site.platform.store])
        if store is None:
            return None
        store.down = True
        self.site.platform.call(self.wake_watches)

        def end():
            store.down = False
            self.release(store)

        return end

    async def wake_watches(self):
        async with self.site.platform.store.changed:
            self.site.platform.store.changed.notify_all()

    def do_store_loses_answers(self):
        self.site.platform.store.lost_answers = self.random.randint(1, 3)
        return lambda: None

    def do_store_forgets_history(self):
        self.site.platform.call(self.site.platform.store.forget_history)
        return lambda: None

    def restore_store(self):
        store = self.reserve([self.site.platform.store])
        if store is None:
            return None
        older_copy = self.site.platform.call(store.take_copy)
        delay = self.random.uniform(0.0, MAX_REWRITE_DELAY_S)

        def end():
            self.site.platform.call(self.restore, older_copy, delay)
            self.release(store)

        return end

    async def restore(self, older_copy, delay):
        await self.site.platform.store.restore(older_copy)
        await asyncio.sleep(delay)
        await self.write_again()

    async def write_again(self):
        platform = self.site.platform
        await platform.publish_again()
        listed = set(platform.store.objects.get("evacuations", {}))
        for zone in listed ^ self.evacuated:
            await platform.store.put("evacuations", zone, {} if zone in self.evacuated else None)
        for server in platform.database.servers.values():
            if server.listener.is_serving():
                await platform.register(server)
            else:
                await platform.store.put("servers", server.id, None)

    def do_configuration_change(self):
        self.site.platform.call(self.site.platform.publish)
        return lambda: None

    def do_key_withdrawn(self):
        keys = self.site.platform.keys["acme"]
        key, new = keys[0], f"acme-key-{len(self.site.history.withdrawn) + 1}"
        keys[:] = [new]
        self.site.platform.call(self.site.platform.publish)
        self.site.history.withdrawn.append((time.monotonic(), key, "acme"))
        return lambda: None

    def do_zone_out(self):
        zone = self.reserve([server.zone for server in self.site.servers])
        out = [target for target in self.reserved if str(target).startswith("zone-")]
        if zone is None or len(out) > 1:
            self.release(zone)
            return None
        put = self.site.platform.store.put
        self.evacuated.add(zone)
        self.site.platform.call(put, "evacuations", zone, {})
        accepted = time.monotonic()

        def end():
            self.site.history.evacuations.append((accepted, time.monotonic(), zone))
            self.evacuated.discard(zone)
            self.site.platform.call(put, "evacuations", zone, None)
            self.release(zone)

        return end


class SynchronousFaults(Faults):
    """Faults that lead to changes of primary where a commit is acknowledged once a replica has
    received it, with replicas that receive nothing for a while. As Faults, with sync_ methods."""

    prefix = "sync_"

    sync_server_crash = Faults.do_server_crash
    sync_server_link_cut = Faults.do_server_link_cut
    sync_zone_out = Faults.do_zone_out
    sync_kill_and_restart = Faults.do_kill_and_restart
    sync_pause = Faults.do_pause

    def sync_replica_receives_nothing(self):
        server = self.reserve(self.site.servers)
        if server is None:
            return None
        server.receiving = False

        def end():
            server.receiving = True
            self.release(server)

        return end

    def sync_entry_lost(self):
        """A server that runs loses its entry in the store, as when it is cut off from the store."""
        server = self.reserve(self.site.servers)
        if server is None:
            return None
        platform = self.site.platform
        platform.call(platform.store.put, "servers", server.id, None)

        def end():
            platform.call(platform.register, server)
            self.release(server)

        return end

    def sync_silent_server(self):
        server = self.reserve(self.site.servers)
        if server is None:
            return None
        server.dark = True

        def end():
            server.dark = False
            self.release(server)

        return end
