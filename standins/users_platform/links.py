"""Connections of the stand-ins that can go silent: nothing passes any more in either direction, and
they are not closed."""

import asyncio

READ_BYTES = 65536


class Link:
    """An open connection, with the methods of asyncio's reader and writer that the stand-ins use."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.silent = False

    @property
    def transport(self):
        return self.writer.transport

    async def receive(self, reading):
        data = await reading
        if self.silent:
            await asyncio.Event().wait()
        return data

    async def read(self, size):
        return await self.receive(self.reader.read(size))

    async def readuntil(self, separator):
        return await self.receive(self.reader.readuntil(separator))

    async def readexactly(self, size):
        return await self.receive(self.reader.readexactly(size))

    def write(self, data):
        if not self.silent:
            self.writer.write(data)

    async def drain(self):
        if not self.silent:
            await self.writer.drain()

    def close(self):
        if not self.silent:
            self.writer.close()


class LinkGroups:
    """The open links, by the name of their group."""

    def __init__(self):
        self.links = {}

    def serve(self, group, handler):
        """Returns a handler for asyncio.start_server() that calls `handler(link, link)`."""

        async def serve_link(reader, writer):
            link = Link(reader, writer)
            links = self.add(group, link)
            try:
                await handler(link, link)
            finally:
                # A silent link stays open until abort().
                if not link.silent:
                    links.discard(link)

        return serve_link

    def add(self, group, link):
        """Adds an open link to the group, whose links it returns."""
        links = self.links.setdefault(group, set())
        links.add(link)
        return links

    def abort(self):
        for links in self.links.values():
            for link in links:
                link.transport.abort()

    def silence(self, *groups):
        """Lets the open links of the groups go silent for good. New ones work."""
        for group in groups:
            for link in self.links.get(group, ()):
                link.silent = True


async def copy(source, target):
    while data := await source.read(READ_BYTES):
        target.write(data)
        await target.drain()
    target.close()


def pass_on_to(host, port):
    """Returns a handler of links that connects each to the address."""

    async def pass_on(link, _):
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except ConnectionError:
            return link.close()
        try:
            await asyncio.gather(copy(link, writer), copy(reader, link))
        except ConnectionError:
            link.close()
        finally:
            writer.transport.abort()

    return pass_on
