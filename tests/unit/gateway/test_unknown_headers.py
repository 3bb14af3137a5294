"""Response headers about the upstream that this version does not know."""

from aiohttp import web
from structlog.testing import capture_logs

from scalebend.edges.gateway.front_runtime import MAX_UNKNOWN_HEADERS
from scalebend.platform.headers import build_response_headers, read_response_headers
from tests.lib.front import run_front, serve
from tests.lib.gateway_builders import build_routing


def test_headers_in_use_are_known():
    headers = build_response_headers(
        "r", "seal", has_not_run=True, rate_limit=1.0, backoff=1.0, is_draining=True
    )
    headers["X-Server-Load"] = "1,0,8"
    headers["Server"] = "engine/1"
    assert read_response_headers(200, headers).unknown_headers == ()


async def test_unknown_header_is_counted_and_logged_once_without_its_value():
    async def respond(request):
        headers = build_response_headers(request.headers["X-Request-Id"], "s")
        headers["Server-Mood"] = "secret"
        return web.Response(headers=headers, body=b"done")

    async with run_front(build_routing()) as front, serve(respond) as address:
        front.add(1, address)
        with capture_logs() as lines:
            for _ in range(3):
                assert (await front.call()).status == 200
        logged = [line for line in lines if line["event"] == "unknown word"]
        assert [line["name"] for line in logged] == ["server-mood"]
        assert "secret" not in str(lines)
        metrics = front.runtime.metrics.render().decode()
        assert 'scalebend_unknown_words_total{name="server-mood"} 3.0' in metrics


async def test_unknown_header_names_are_bounded():
    async with run_front(build_routing()) as front:
        for number in range(1000):
            front.runtime.record_unknown_header("i-1", f"Server-{number}" + "x" * 999)
        metrics = front.runtime.metrics.render().decode()
    lines = [line for line in metrics.splitlines() if "unknown_words_total{" in line]
    assert len(lines) == MAX_UNKNOWN_HEADERS + 1
    assert max(map(len, lines)) < 200
