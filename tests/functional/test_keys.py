"""TLS certificates and API keys of callers, upstreams, operators and instances."""

import asyncio
import contextlib
import json
import ssl

import aiohttp
import msgspec
import pytest
import trustme

from scalebend.core.messages import Datagram, FetchCatalog
from scalebend.edges.gossip import open_gossip
from scalebend.edges.peers import serve_peers
from scalebend.edges.tls import build_client_context, build_server_context
from scalebend.models.configuration import Customer
from scalebend.models.settings import Tls
from scalebend.models.upstream import LoadedModel
from scalebend.standins.engine_server import EngineOptions, serve_engine
from scalebend.standins.ports import find_free_ports
from scalebend.utils.keys import hash_key
from tests.functional.test_requests import build_expected_text, read_text
from tests.lib.builders import MODEL, ZONE
from tests.lib.fleet import CONFIGURATION, apply_configuration, run_fleet


def write_certificate(folder, authority, name):
    certificate = authority.issue_cert("127.0.0.1")
    files = [folder / f"{name}.{part}" for part in ("pem", "key", "ca")]
    certificate.cert_chain_pems[0].write_to_path(files[0])
    certificate.private_key_pem.write_to_path(files[1])
    authority.cert_pem.write_to_path(files[2])
    return Tls(str(files[0]), str(files[1]), str(files[2]))


@pytest.fixture
def authority():
    return trustme.CA()


async def test_callers_and_upstreams_over_tls(tmp_path, authority):
    own = write_certificate(tmp_path, authority, "mine")
    server_only = Tls(own.certificate, own.key)
    client = ssl.create_default_context()
    authority.configure_trust(client)
    async with run_fleet(
        0, tls=client, has_service=False, caller_tls=server_only, upstream_tls=own
    ) as fleet:
        options = EngineOptions("secure", ZONE, [LoadedModel(MODEL)], time_scale=0.1)
        server = build_server_context(own)
        async with serve_engine(options, [], context=server) as engine:
            body = msgspec.json.encode(engine.build_announcement())
            async with fleet.post(body, "/upstreams/announce") as response:
                assert response.status == 202
            async with fleet.complete("over tls") as response:
                events = await response.read()
        assert read_text(events) == build_expected_text("over tls", 4)
        plain = fleet.url.replace("https", "http")
        with pytest.raises(aiohttp.ClientError):
            async with fleet.session.get(f"{plain}/health/live"):
                pass


@contextlib.asynccontextmanager
async def open_pair(first, second):
    ports = find_free_ports(2)
    received = []

    def receive(sender, message):
        received.append((sender, message))

    addresses = [f"127.0.0.1:{port}" for port in ports]
    async with (
        serve_peers("one", addresses[0], first, receive) as one,
        serve_peers("two", addresses[1], second, receive),
    ):
        yield one, addresses[1], received


async def test_instances_over_mutual_tls(tmp_path, authority):
    first = write_certificate(tmp_path, authority, "one")
    second = write_certificate(tmp_path, authority, "two")
    async with open_pair(first, second) as (one, address, received):
        one.send("two", address, FetchCatalog())
        for _ in range(200):
            if received:
                break
            await asyncio.sleep(0.02)
    assert received == [("one", FetchCatalog())]


async def test_instance_of_another_authority_is_rejected(tmp_path, authority):
    stranger = write_certificate(tmp_path, trustme.CA(), "stranger")
    second = write_certificate(tmp_path, authority, "two")
    async with open_pair(stranger, second) as (one, address, received):
        one.send("two", address, FetchCatalog())
        await asyncio.sleep(1.0)
    assert received == []


async def test_datagram_with_another_key_is_dropped():
    ports = find_free_ports(4)
    received = []
    datagram = Datagram("one", 1, True, 0, 0, [], [])
    addresses = [f"127.0.0.1:{port}" for port in ports]
    async with open_gossip(addresses[0], received.append, b"secret") as one:
        for key, address in ((b"other", addresses[1]), (None, addresses[2])):
            async with open_gossip(address, received.append, key) as two:
                two.send(addresses[0], datagram)
        async with open_gossip(addresses[3], received.append, b"secret") as two:
            two.send(addresses[0], datagram)
            for _ in range(100):
                if received:
                    break
                await asyncio.sleep(0.02)
        assert one.bytes_sent == 0
    assert received == [datagram]


async def test_operator_key_is_required_once_set():
    async with run_fleet(operator_key_hashes=[hash_key("operator")]) as fleet:
        url = f"{fleet.url}/admin/status"
        async with fleet.session.get(url) as response:
            assert response.status == 401
        headers = {"Authorization": "Bearer operator"}
        async with fleet.session.get(url, headers=headers) as response:
            assert (await response.json())["is_ready"]


async def test_upstream_key_is_required_once_set():
    async with run_fleet(
        0, has_service=False, upstream_key_hashes=[hash_key("engine")]
    ) as fleet:
        async with fleet.post(b"{}", "/upstreams/announce", key="x") as response:
            assert response.status == 401
        async with fleet.post(b"{}", "/upstreams/announce", key="engine") as response:
            assert response.status == 400


async def test_old_and_new_customer_key_are_valid_during_rotation(capfd):
    async with run_fleet() as fleet:
        both = Customer("keepers", [hash_key("keepers"), hash_key("new-key")])
        document = msgspec.structs.replace(CONFIGURATION, customers=[both])
        assert (await apply_configuration(fleet, document, 1, "both"))[0] == 200
        for key in ("keepers", "new-key"):
            async with fleet.complete("x", key=key) as response:
                assert response.status == 200
        only_new = Customer("keepers", [hash_key("new-key")])
        document = msgspec.structs.replace(CONFIGURATION, customers=[only_new])
        assert (await apply_configuration(fleet, document, 2, "new"))[0] == 200
        async with fleet.complete("x", key="keepers") as response:
            assert response.status == 401
    captured = capfd.readouterr()
    assert "new-key" not in captured.out + captured.err
    assert json.dumps(hash_key("new-key")) not in captured.out + captured.err


def test_client_context_verifies_certificates(tmp_path, authority):
    context = build_client_context(write_certificate(tmp_path, authority, "c"))
    assert context.verify_mode is ssl.CERT_REQUIRED
