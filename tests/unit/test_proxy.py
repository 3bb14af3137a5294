"""Forwarding, blocking, delay and reset of connections by the loopback proxy."""

import asyncio
import contextlib

import pytest

from scalebend.standins.ports import find_free_ports
from scalebend.standins.proxy import Direction, Rule, run_proxy
from scalebend.utils.resets import reset_connection

DELAY_S = 0.1


@contextlib.asynccontextmanager
async def run_echo():
    """Run an echo server behind a proxy and connect to it."""

    async def echo(reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    target, proxied = find_free_ports(2)
    server = await asyncio.start_server(echo, "127.0.0.1", target)
    async with run_proxy(f"127.0.0.1:{proxied}", f"127.0.0.1:{target}") as proxy:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxied)
        try:
            yield proxy, reader, writer
        finally:
            writer.close()
            server.close()


async def exchange(reader, writer, data=b"hello"):
    writer.write(data)
    return await reader.readexactly(len(data))


async def test_bytes_are_forwarded_in_both_directions():
    async with run_echo() as (_, reader, writer):
        assert await exchange(reader, writer) == b"hello"


@pytest.mark.parametrize("direction", list(Direction))
async def test_blocked_bytes_are_delivered_once_the_rule_is_removed(direction):
    async with run_echo() as (proxy, reader, writer):
        pending = asyncio.create_task(exchange(reader, writer))
        with proxy.apply(Rule(None, blocked=direction)):
            await asyncio.sleep(DELAY_S)
            assert not pending.done()
        assert await pending == b"hello"


async def test_held_bytes_are_lost_if_their_sender_resets_the_connection():
    received = []

    async def record(reader, writer):
        with contextlib.suppress(ConnectionError):
            received.append(await reader.read(100))
        writer.close()

    target, proxied = find_free_ports(2)
    server = await asyncio.start_server(record, "127.0.0.1", target)
    async with run_proxy(f"127.0.0.1:{proxied}", f"127.0.0.1:{target}") as proxy:
        _, writer = await asyncio.open_connection("127.0.0.1", proxied)
        with proxy.apply(Rule(None, blocked=Direction.REQUESTS)):
            writer.write(b"hello")
            await asyncio.sleep(DELAY_S)
            reset_connection(writer.transport)
            await asyncio.sleep(DELAY_S)
        await asyncio.sleep(DELAY_S)
    server.close()
    assert b"hello" not in received


async def test_bytes_are_delayed_in_both_directions():
    async with run_echo() as (proxy, reader, writer):
        started = asyncio.get_running_loop().time()
        with proxy.apply(Rule(None, delay=DELAY_S)):
            await exchange(reader, writer)
        assert asyncio.get_running_loop().time() - started >= 2.0 * DELAY_S


async def test_rule_for_another_client_is_ignored():
    async with run_echo() as (proxy, reader, writer):
        with proxy.apply(Rule("another", blocked=Direction.BOTH)):
            assert await exchange(reader, writer) == b"hello"


async def test_reset_reaches_the_client():
    async with run_echo() as (proxy, reader, writer):
        await exchange(reader, writer)
        proxy.reset_all()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
