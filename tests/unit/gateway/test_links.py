"""Links: a first packet that is lost, and a peer that falls silent for good."""

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

ME = Introduce("front-127.0.0.9:7340", 1, GatewayRole.FRONT)


async def listen(server):
    (port,) = find_free_ports(1)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.build_link, "127.0.0.1", port)
    return listener, f"127.0.0.1:{port}"


def build_dialer(up, down):
    return Dialer(ME, lambda *_: None, up.append, down.append, GatewayMetrics())


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
    tries = []

    async def lose_first(*args, **options):
        tries.append(loop.time())
        if len(tries) == 1:
            await asyncio.Event().wait()
        return await connect(*args, **options)

    monkeypatch.setattr(loop, "create_connection", lose_first)
    up, down = [], []
    dialer = build_dialer(up, down)
    dialer.dial(address)
    await wait_for(lambda: up, 5.0)
    assert tries[1] - tries[0] < 0.6
    await dialer.close()
    listener.close()
    server.close()


async def test_peer_that_falls_silent_without_a_reset_is_dialled_anew():
    server = LinkServer(
        lambda *_: None, lambda _: None, lambda _: None, GatewayMetrics()
    )
    listener, address = await listen(server)
    up, down = [], []
    dialer = build_dialer(up, down)
    dialer.dial(address)
    loop = asyncio.get_running_loop()
    await wait_for(lambda: up, 5.0)
    server.send(ME.instance, Heartbeat())
    # The connection stands; nothing comes over it any more.
    dialer.close_unresponsive(loop.time() + LINK_TIMEOUT_S / 2)
    await asyncio.sleep(0.05)
    assert not down
    dialer.close_unresponsive(loop.time() + LINK_TIMEOUT_S + 0.1)
    await wait_for(lambda: len(up) == 2, 5.0)
    assert len(down) == 1
    await dialer.close()
    listener.close()
    server.close()


def take_frames(data):
    taken = []
    link = Link(lambda _, message: taken.append(message), lambda _: None)
    for start in range(0, len(data), 1000):
        link.data_received(data[start : start + 1000])
    return taken, link


async def test_long_messages_are_compressed_on_the_way():
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(200)])
    frame = _build_frame(long)
    assert len(frame) < 2_000
    taken, _ = take_frames(frame + _build_frame(Heartbeat()))
    assert taken == [long, Heartbeat()]


async def test_damaged_compressed_frame_ends_the_link():
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(200)])
    frame = bytearray(_build_frame(long))
    frame[20:40] = bytes(20)
    taken, _ = take_frames(bytes(frame) + _build_frame(Heartbeat()))
    assert taken == []


async def test_frame_that_grows_beyond_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr("scalebend.edges.gateway.links.MAX_FRAME_BYTES", 3_000)
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(300)])
    taken, _ = take_frames(_build_frame(long))
    assert taken == []


async def test_what_goes_to_all_is_encoded_once():
    cache = _FrameCache()
    long = KnownInstances([f"10.1.0.{number}:7000" for number in range(200)])
    assert cache.build(long) is cache.build(long)
    other = KnownInstances(list(long.instances))
    assert cache.build(other) == cache.build(long)
