"""A site on loopback: platform stand-in, backend servers and entry instances, each a process."""

import hashlib
import os
import subprocess

from .http import fetch_json, fetch_status, fetch_text, put_json, put_text
from .processes import Process, address, free_port, wait_until

CONFIGURATION_TIMEOUT_S = 20.0
PEER_SECRET = "loopback-site-peer-secret"


def key_digest(key):
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


class Server:
    """A backend server: its ports, its zone and, once started, its process."""

    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.statement_port = free_port()
        self.control_port = free_port()
        self.process = None


class Database:
    def __init__(self, name, zones):
        self.name = name
        self.servers = [Server(f"{name}-s{i + 1}", zone) for i, zone in enumerate(zones)]


class Instance:
    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.caller_port = free_port()
        self.admin_port = free_port()
        self.peer_port = free_port()
        self.process = None

    def status(self):
        return fetch_json(self.admin_port, "/status")


class Options:
    """Sizes and delays of a site. The demo uses the defaults except for the zones."""

    def __init__(self, **given):
        self.zones = ["zone-a", "zone-b"]
        self.server_zones = None  # zones of the backend servers, round robin; None: same as zones
        self.databases = 1
        self.instances = 2
        self.lag_ms = "50:200"
        self.connections = 20
        self.connect_ms = 10
        self.service_us = 0
        self.traffic_threads = 2
        self.accounts = {"acme": ("acme-key", 100000, 100000)}
        self.drain_delay = "200ms"
        self.drain_limit = "30s"
        self.share_slots = 4  # rate shares per zone: the most instances it can have
        # If set, adds a service "strict" that refuses while the configuration is older than this.
        self.stale_after = None
        for name, value in given.items():
            if not hasattr(self, name):
                raise ValueError(f"unknown option {name}")
            setattr(self, name, value)


class Site:
    """The processes of one site. As a context manager, kills them all on exit."""

    def __init__(self, build_dir, work_dir, options=None):
        self.options = options or Options()
        self._bin = os.path.join(build_dir, "bin")
        self._dir = work_dir
        os.makedirs(work_dir, exist_ok=True)
        self.platform_port = free_port()
        self.platform = None
        zones = self.options.server_zones or self.options.zones
        per_database = [zones[i % len(zones)] for i in range(3)]
        self.databases = [
            Database(f"db-{i + 1}", per_database) for i in range(self.options.databases)
        ]
        zones = self.options.zones
        self.instances = [
            Instance(f"i{i + 1}", zones[i % len(zones)]) for i in range(self.options.instances)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        self.start_platform()
        for database in self.databases:
            self._start_database(database)
        for instance in self.instances:
            self.start_instance(instance)

    def stop(self):
        for process in self._processes():
            process.kill()

    def program(self, name):
        return os.path.join(self._bin, name)

    def start_platform(self):
        self.platform = self._spawn(
            "platform", ["oriole-platform", "--listen", address(self.platform_port)]
        )
        self.platform.wait_for_port(self.platform_port)

    def copy_of_platform(self):
        """The objects that the platform stores, by path."""
        listed = fetch_json(self.platform_port, "/v1/objects?prefix=")
        return {item["path"]: fetch_text(self.platform_port, f"/v1/objects/{item['path']}")
                for item in listed}

    def restore_platform(self, older_copy):
        """Replaces the platform by one that holds the copy only."""
        self.platform.kill()
        self.start_platform()
        for path, text in older_copy.items():
            headers = {"If-Match": "0", "Oriole-Operation": "restore"}
            status = put_text(self.platform_port, f"/v1/objects/{path}", text, headers)
            if status != 200:
                raise RuntimeError(f"cannot restore {path}: status {status}")

    def start_server(self, database, server, extra):
        command = [
            "oriole-backend",
            "--name", server.name,
            "--statement", address(server.statement_port),
            "--control", address(server.control_port),
            "--lag-ms", self.options.lag_ms,
            "--connections", str(self.options.connections),
            "--connect-ms", str(self.options.connect_ms),
            "--service-us", str(self.options.service_us),
        ]
        server.process = self._spawn(server.name, command + extra)
        server.process.wait_for_port(server.control_port)

    def write_settings(self, instance):
        """Writes the instance's settings file; returns its path."""
        path = os.path.join(self._dir, f"{instance.name}.yaml")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(self._settings_text(instance))
        return path

    def start_instance(self, instance):
        path = self.write_settings(instance)
        instance.process = self._spawn(instance.name, ["oriolethread", "--settings", path])
        instance.process.wait_for_port(instance.admin_port)

    def configuration_path(self):
        path = os.path.join(self._dir, "site.yaml")
        with open(path, "w", encoding="utf-8") as configuration:
            configuration.write(self.configuration_text())
        return path

    def oriolectl(self, *arguments, check=True):
        """Runs oriolectl with this site's platform."""
        command = [os.path.join(self._bin, "oriolectl"), *arguments]
        command += ["--platform", address(self.platform_port)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(
                f"oriolectl {' '.join(arguments)} ended with exit status {done.returncode}: "
                f"{done.stdout}{done.stderr}"
            )
        return done

    def apply(self, author="operator"):
        return self.oriolectl("apply", self.configuration_path(), "--author", author)

    def live_instances(self):
        """The running instances that are not paused."""
        running = [i for i in self.instances if i.process and i.process.running()]
        return [i for i in running if not i.process.paused]

    def listed_instances(self):
        """Ids of the instances that are registered at the platform."""
        return {item["id"] for item in fetch_json(self.platform_port, "/v1/instances")}

    def head_generation(self):
        return fetch_json(self.platform_port, "/v1/objects/config/head")["generation"]

    def wait_in_force(self, instances=None):
        """Waits until the newest accepted configuration generation is in force at the instances."""
        generation = self.head_generation()
        for instance in instances or self.live_instances():
            wait_until(
                lambda i=instance: i.status()["generation"] >= generation,
                CONFIGURATION_TIMEOUT_S,
                f"generation {generation} in force at {instance.name}",
            )

    def wait_ready(self):
        """Waits until /readyz of all live instances reports ready."""
        for instance in self.live_instances():
            wait_until(
                lambda i=instance: fetch_status(i.admin_port, "/readyz") == 200,
                CONFIGURATION_TIMEOUT_S,
                f"readiness of {instance.name}",
            )

    def primary_of(self, database):
        """The primary that the first live instance with a known primary reports, or None."""
        for instance in self.live_instances():
            for item in instance.status()["databases"]:
                if item["name"] == database.name and item.get("primary"):
                    return next(s for s in database.servers if s.name == item["primary"])
        return None

    def wait_for_primary(self, database, other_than=None):
        def found():
            primary = self.primary_of(database)
            return primary is not None and primary is not other_than

        wait_until(found, CONFIGURATION_TIMEOUT_S, f"a primary of {database.name}")
        return self.primary_of(database)

    def set_platform_faults(self, **faults):
        put_json(self.platform_port, "/v1/faults", faults)

    def _processes(self):
        owners = [*self.instances, *(s for d in self.databases for s in d.servers)]
        running = [o.process for o in owners if o.process]
        return running + ([self.platform] if self.platform else [])

    def _spawn(self, name, command):
        program = os.path.join(self._bin, command[0])
        return Process(name, [program, *command[1:]], os.path.join(self._dir, f"{name}.log"))

    def _start_database(self, database):
        members = ",".join(f"{s.name}={address(s.control_port)}" for s in database.servers)
        first = database.servers[0]
        self.start_server(database, first, ["--primary-of-term", "1", "--members", members])
        for server in database.servers[1:]:
            follow = f"{first.name}={address(first.control_port)}"
            self.start_server(database, server, ["--follow", follow, "--term", "1"])

    def _settings_text(self, instance):
        peers = [address(i.peer_port) for i in self.instances if i is not instance]
        return (
            f"instance: {instance.name}\n"
            f"zone: {instance.zone}\n"
            f"caller: {address(instance.caller_port)}\n"
            f"admin: {address(instance.admin_port)}\n"
            f"peer: {address(instance.peer_port)}\n"
            f"platform: {address(self.platform_port)}\n"
            f"peer_secret: {PEER_SECRET}\n"
            f"peers: [{', '.join(peers)}]\n"
            f"traffic_threads: {self.options.traffic_threads}\n"
            f"drain_delay: {self.options.drain_delay}\n"
            f"drain_limit: {self.options.drain_limit}\n"
            f"share_slots: {self.options.share_slots}\n"
        )

    def configuration_text(self):
        documents = ["kind: region\nname: loopback"]
        documents += [
            f"kind: availability-zone\nname: {zone}\nregion: loopback\nstate: in"
            for zone in self.options.zones
        ]
        for database in self.databases:
            documents += self._database_documents(database)
        for account, (key, rate, burst) in self.options.accounts.items():
            documents += [
                f"kind: rate\nname: {account}-rate\nper_second: {rate}\nburst: {burst}",
                f"kind: client-account\nname: {account}\nrate: {account}-rate\nweight: 1",
                f"kind: key\nname: {account}-key\naccount: {account}\n"
                f"digest: {key_digest(key)}\nstate: granted",
            ]
        return "---\n" + "\n---\n".join(documents) + "\n"

    def _database_documents(self, database):
        names = ", ".join(s.name for s in database.servers)
        documents = [
            f"kind: backend-server\nname: {s.name}\nzone: {s.zone}\n"
            f"address: {address(s.statement_port)}\ncontrol: {address(s.control_port)}\nstate: in"
            for s in database.servers
        ]
        documents.append(
            f"kind: database\nname: {database.name}\nservers: [{names}]\n"
            f"connections: {self.options.connections}\n"
            f"connect_time: {self.options.connect_ms}ms"
        )
        documents += [
            f"kind: service\nname: {database.name}-read\ndatabase: {database.name}\n"
            "access: read\nweight: 1",
            f"kind: service\nname: {database.name}-recent\ndatabase: {database.name}\n"
            "access: read\nweight: 1\nmax_age: 2s",
            f"kind: service\nname: {database.name}-write\ndatabase: {database.name}\n"
            "access: write\nweight: 1",
        ]
        if self.options.stale_after:
            documents.append(
                f"kind: service\nname: {database.name}-strict\ndatabase: {database.name}\n"
                "access: read\nweight: 1\nwhen_stale: refuse\n"
                f"stale_after: {self.options.stale_after}"
            )
        return documents
