"""A relay between the instances and an HTTP interface of the platform, which plants a fault: to the
instances, replies are mixed up as if their client kept its connections for later calls."""

import asyncio

from platform_fixtures import LOOPBACK
from users_platform.links import Link

GROUP = "kept"
HEAD_END = b"\r\n\r\n"
LENGTH_FIELD = b"content-length:"


async def read_message(reader):
    """Reads a request or a reply with its body."""
    head = await reader.readuntil(HEAD_END)
    lengths = [line[len(LENGTH_FIELD):] for line in head.split(b"\r\n")
               if line.lower().startswith(LENGTH_FIELD)]
    return head + await reader.readexactly(int(lengths[0]) if lengths else 0)


class KeptConnections:
    """Passes calls on to a port of the platform. It keeps its connections to the port, and takes the
    next reply on a connection for the reply to its latest call, without a look for other bytes."""

    def __init__(self, platform, port):
        self.platform = platform
        self.port = port
        self.idle = []

    async def relay(self, link, _):
        """Handler of a connection of an instance, which makes one call."""
        try:
            request = await read_message(link)
            connection = self.idle.pop() if self.idle else await self.connect()
            connection.write(request)
            reply = await read_message(connection)
            self.idle.append(connection)
            link.write(reply)
            await link.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The instance or the platform has closed its connection.
        finally:
            link.close()

    async def connect(self):
        connection = Link(*await asyncio.open_connection(LOOPBACK, self.port))
        self.platform.links.add(GROUP, connection)
        return connection


def ports_behind_kept_connections(platform):
    """Replaces Platform.ports_for_instance(): each instance has connections of its own."""
    return tuple(platform.call(platform.listen, GROUP, KeptConnections(platform, port).relay)
                 for port in (platform.store_port, platform.promotion_port))
