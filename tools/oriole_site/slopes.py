"""Measures the CPU, network and memory cost of an instance without load, for several numbers of
databases and instances, and the memory per idle connection."""

import re
import socket
import subprocess
import tempfile
import time

from .processes import LOOPBACK, wait_until
from .site import Options, Site

ZONES = ["zone-a", "zone-b", "zone-c"]
SETTLE_S = 8.0
IDLE_CONNECTIONS = 2000
CONNECTION_TIMEOUT_S = 30.0


def socket_bytes(pids):
    """By process id: payload bytes sent and received so far on the process's open TCP
    connections."""
    totals = {pid: 0 for pid in pids}
    lines = subprocess.run(
        ["ss", "-Htinp"], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    for head, detail in zip(lines[::2], lines[1::2]):
        owner = re.search(r"pid=(\d+)", head)
        if owner and int(owner.group(1)) in totals:
            counts = re.findall(r"bytes_(?:sent|received):(\d+)", detail)
            totals[int(owner.group(1))] += sum(map(int, counts))
    return totals


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def idle_cost(build_dir, seconds, databases, instances):
    """Mean CPU share, control traffic and memory of the instances of a site without callers."""
    options = Options(zones=ZONES, databases=databases, instances=instances)
    with tempfile.TemporaryDirectory(prefix="oriole-slopes-") as work_dir:
        with Site(build_dir, work_dir, options) as site:
            site.start()
            site.apply()
            site.wait_in_force()
            time.sleep(SETTLE_S)
            processes = [i.process for i in site.instances]
            pids = [p.pid for p in processes]
            cpu = [p.cpu_seconds() for p in processes]
            sent = socket_bytes(pids)
            start = time.monotonic()
            time.sleep(seconds)
            elapsed = time.monotonic() - start
            now = socket_bytes(pids)
            return {
                "databases": databases,
                "instances": instances,
                "control_cpu_share": mean(
                    (p.cpu_seconds() - before) / elapsed for p, before in zip(processes, cpu)
                ),
                "control_bytes_per_s": mean((now[pid] - sent[pid]) / elapsed for pid in pids),
                "rss_bytes": mean(p.resident_bytes() for p in processes),
            }


def idle_connection_bytes(build_dir):
    """Growth of an instance's resident memory per idle caller connection, in bytes."""
    with tempfile.TemporaryDirectory(prefix="oriole-slopes-") as work_dir:
        with Site(build_dir, work_dir, Options(instances=1)) as site:
            site.start()
            site.apply()
            site.wait_in_force()
            instance = site.instances[0]
            before = instance.process.resident_bytes()
            sockets = []
            for _ in range(IDLE_CONNECTIONS):
                sockets.append(socket.create_connection((LOOPBACK, instance.caller_port)))
            request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
            for connection in sockets:
                connection.sendall(request)
            for connection in sockets:
                wait_until(lambda c=connection: c.recv(4096), CONNECTION_TIMEOUT_S, "an answer")
            after = instance.process.resident_bytes()
            for connection in sockets:
                connection.close()
            return (after - before) / IDLE_CONNECTIONS


def measure(build_dir, seconds):
    sizes = [(1, 3), (8, 3), (1, 9), (8, 9)]
    return {
        "idle": [idle_cost(build_dir, seconds, *size) for size in sizes],
        "idle_connection_bytes": idle_connection_bytes(build_dir),
    }
