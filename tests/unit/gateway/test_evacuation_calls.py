"""Calls of operators that order evacuations, at a control instance that follows."""

from types import SimpleNamespace

import pytest
from aiohttp import ClientSession
from yarl import URL

from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.gateway.control_instance import ControlInstance
from scalebend.edges.gateway.control_calls import ControlHandler
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import InstanceId, Term
from tests.lib.front import serve

ME, LEADER = InstanceId("127.0.0.1:7000"), InstanceId("127.0.0.2:7000")


class Follower:
    """The parts of a control runtime that a follower's calls use."""

    def __init__(self, monkeypatch):
        recovered = Recovered(DiskId("d"), HardState(Term(0), None), None, [])
        member = ControlMember(ME, [LEADER], recovered, now=0.0)
        monkeypatch.setattr(ControlMember, "leader", LEADER)
        self.instance = ControlInstance(member, 1.2, now=0.0, bounds=Bounds())
        monkeypatch.setattr(ControlInstance, "is_leader", property(self._get_leads))
        self.leads = False
        # The group, as a follower knows it.
        self.instance._list_instances = lambda: [ME, LEADER]
        self.settings = SimpleNamespace(control_address="0.0.0.0:7341")

    def _get_leads(self, _):
        return self.leads


@pytest.fixture
def follower(monkeypatch):
    return Follower(monkeypatch)


async def call(follower, method="POST", path="/evacuations/far", body=None):
    handle = ControlHandler(follower).handle
    async with (
        serve(handle) as address,
        ClientSession() as session,
        session.request(
            method,
            URL(f"http://{address}{path}", encoded=True),
            data=body,
            allow_redirects=False,
        ) as response,
    ):
        return response, await response.text()


async def test_order_is_not_redirected_to_a_leader_of_the_version_before(follower):
    response, _ = await call(follower)
    assert response.status == 307
    assert response.headers["Location"] == "http://127.0.0.2:7341/evacuations/far"
    follower.instance.evacuations.record_member(LEADER, knows_evacuations=False)
    for method in ("POST", "DELETE"):
        response, body = await call(follower, method)
        assert response.status == 503 and LEADER in body
    response, body = await call(follower, "GET", "/evacuations")
    assert response.status == 503 and LEADER in body
    follower.instance.evacuations.record_member(LEADER, knows_evacuations=True)
    assert (await call(follower))[0].status == 307


@pytest.mark.parametrize(
    ("path", "zone"),
    [
        ("/evacuations/a%2Fb", "a/b"),
        ("/evacuations/far?x=1", "far"),
        ("/evacuations/far%2F", "far/"),
        ("/evacuations%2Ffar", None),
        ("/evacuations/far/", None),
    ],
)
async def test_name_of_the_zone_is_read_as_it_was_sent(follower, path, zone):
    orders = []

    async def order_evacuation(order):
        orders.append(order.availability_zone)
        return 1

    follower.order_evacuation = order_evacuation
    follower.now = lambda: 0.0
    follower.metrics = GatewayMetrics()
    follower.leads = True
    response, _ = await call(follower, path=path)
    assert (response.status, orders) == ((200, [zone]) if zone else (404, []))
