"""Links: lost first packets, unresponsive peers, frame compression and caching."""

import asyncio

from scalebend.core.gateway.messages import Heartbeat, Introduce, KnownInstances
from scalebend.edges.gateway.links import (
    LINK_TIMEOUT_S,
    Dialer,
    Link,
    LinkServer,
    _build_frame,
    _FrameCache,
)
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.gateway_settings import GatewayRole
from scalebend.standins.ports import find_free_ports

INTRODUCTION = Introduce("front-127.0.0.9:7340", 1, GatewayRole.FRONT)


async def listen(server):
    (port,) = find_free_ports(1)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.build_link, "127.0.0.1", port)
    return listener, f"127.0.0.1:{port}"


def build_dialer(up, down):
    return Dialer(
        INTRODUCTION, lambda *_: None, up.append, down.append, GatewayMetrics()
    )


async def wait_for(condition, seconds):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def test_lost_first_packet_costs_less_than_the_kernel_s_second(monkeypatch):
    server = LinkServer(
        lambda *_: None, lambda _: None, lambda _: None, GatewayMetrics()
    )
    listener, address = await listen(server)
    loop = asyncio.get_running_loop()
    connect = loop.create_connection
    attempts = []

    async def drop_first_attempt(*args, **options):
        attempts.append(loop.time())
        if len(attempts) == 1:
            await asyncio.Event().wait()
        return await connect(*args, **options)

    monkeypatch.setattr(loop, "create_connection", drop_first_attempt)
    up, down = [], []
    dialer = build_dialer(up, down)
    dialer.dial(address)
    await wait_for(lambda: up, 5.0)
    assert attempts[1] - attempts[0] < 0.6
    await dialer.close()
    listener.close()
    server.close()


async def test_unresponsive_peer_is_redialled():
    server = LinkServer(
        lambda *_: None, lambda _: None, lambda _: None, GatewayMetrics()
    )
    listener, address = await listen(server)
    up, down = [], []
    dialer = build_dialer(up, down)
    dialer.dial(address)
    loop = asyncio.get_running_loop()
    await wait_for(lambda: up, 5.0)
    server.send(INTRODUCTION.instance, Heartbeat())
    # The connection stays open without further bytes.
    dialer.close_unresponsive(loop.time() + LINK_TIMEOUT_S / 2)
    await asyncio.sleep(0.05)
    assert not down
    dialer.close_unresponsive(loop.time() + LINK_TIMEOUT_S + 0.1)
    await wait_for(lambda: len(up) == 2, 5.0)
    assert len(down) == 1
    await dialer.close()
    listener.close()
    server.close()


def receive_frames(data):
    received = []
    link = Link(lambda _, message: received.append(message), lambda _: None)
    for start in range(0, len(data), 1000):
        link.data_received(data[start : start + 1000])
    return received, link


async def test_long_messages_are_compressed():
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(200)])
    frame = _build_frame(long)
    assert len(frame) < 2_000
    received, _ = receive_frames(frame + _build_frame(Heartbeat()))
    assert received == [long, Heartbeat()]


async def test_damaged_compressed_frame_closes_the_link():
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(200)])
    frame = bytearray(_build_frame(long))
    frame[20:40] = bytes(20)
    received, _ = receive_frames(bytes(frame) + _build_frame(Heartbeat()))
    assert received == []


async def test_frame_above_the_limit_after_decompression_is_rejected(monkeypatch):
    monkeypatch.setattr("scalebend.edges.gateway.links.MAX_FRAME_BYTES", 3_000)
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(300)])
    received, _ = receive_frames(_build_frame(long))
    assert received == []


async def test_broadcast_message_is_encoded_once():
    cache = _FrameCache()
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(200)])
    assert cache.build(long) is cache.build(long)
    other = KnownInstances(list(long.instances))
    assert cache.build(other) == cache.build(long)
