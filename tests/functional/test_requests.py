"""Requests of callers through a real instance to stand-in upstreams."""

import asyncio

import msgspec

from scalebend.models.settings import Limits, Statsd
from scalebend.models.upstream import UpstreamState
from scalebend.standins.engine_server import build_word
from tests.lib.builders import MODEL
from tests.lib.fleet import run_fleet


def build_expected_text(prompt, count):
    raw = msgspec.json.encode(prompt)
    return "".join(build_word(raw, offset) for offset in range(count))


def read_text(events):
    text = ""
    for line in events.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in msgspec.json.decode(line[6:])["choices"]:
                text += choice["text"]
    return text


async def read_problem(response, status, kind, ran="no"):
    document = await response.json(content_type="application/problem+json")
    assert (response.status, document["type"]) == (status, kind), document
    assert document["ran"] == ran
    return document


async def wait_for_free_memory(fleet):
    await fleet.wait_until(
        lambda: all(engine.model.used_tokens == 0 for engine in fleet.engines)
    )


async def test_streamed_and_plain_responses_match_the_prompt():
    async with run_fleet() as fleet:
        async with fleet.complete("where is the lamp?") as response:
            assert response.content_type == "text/event-stream"
            events = await response.read()
        assert read_text(events) == build_expected_text("where is the lamp?", 4)
        assert events.endswith(b"data: [DONE]\n\n")
        async with fleet.complete("and the lens?", stream=False) as response:
            document = await response.json()
        assert document["choices"][0]["text"] == build_expected_text("and the lens?", 4)
        assert document["usage"]["completion_tokens"] == 4
        await wait_for_free_memory(fleet)


async def test_chat_completion():
    async with run_fleet() as fleet:
        body = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}]}
        body["max_tokens"] = 2
        async with fleet.post(body, "/v1/chat/completions") as response:
            document = await response.json()
    expected = build_expected_text(body["messages"], 2)
    assert document["choices"][0]["message"]["content"] == expected


async def test_prompt_of_a_million_tokens_is_spread_over_several_engines():
    async with run_fleet(3, scale=0.02) as fleet:
        prompt = "dossier " * 475_000
        async with fleet.complete(prompt) as response:
            assert response.status == 200, await response.text()
            assert read_text(await response.read()) == build_expected_text(prompt, 4)
        await wait_for_free_memory(fleet)
        assert sum(engine.model.memory_rejections for engine in fleet.engines) == 0


async def test_invalid_requests_are_rejected_as_not_run():
    async with run_fleet() as fleet:
        async with fleet.post(b"{not json") as response:
            await read_problem(response, 400, "malformed-request")
        async with fleet.post({"model": MODEL}) as response:
            await read_problem(response, 400, "malformed-request")
        async with fleet.post({"model": 7, "prompt": "x"}) as response:
            await read_problem(response, 400, "malformed-request")
        async with fleet.post({"model": "none", "prompt": "x"}) as response:
            await read_problem(response, 404, "unknown-model")
        async with fleet.complete("x", key="stranger") as response:
            await read_problem(response, 401, "unknown-key")
        for limit in ("-1", "0", "soon", "nan", "1e9"):
            async with fleet.complete("x", X_Time_Limit=limit) as response:
                await read_problem(response, 400, "invalid-time-limit")
        async with fleet.complete("x", X_Priority="99") as response:
            await read_problem(response, 400, "malformed-request")
        async with fleet.post(b"{}", "/services/none/x") as response:
            await read_problem(response, 404, "unknown-service")
        async with fleet.post(b"{}", "/nowhere") as response:
            await read_problem(response, 404, "not-found")
        assert fleet.engines[0].started == []


async def test_body_over_the_limit_is_rejected():
    limits = Limits(body_bytes=10_000, body_bytes_sum=15_000)
    async with run_fleet(limits=limits) as fleet:
        async with fleet.complete("x" * 10_000) as response:
            await read_problem(response, 413, "body-too-large")
        async with fleet.complete("x" * 9_000) as response:
            assert response.status == 200


async def test_sum_of_body_sizes_is_limited():
    limits = Limits(body_bytes=10_000, body_bytes_sum=15_000)
    async with run_fleet(limits=limits, scale=1.0) as fleet:
        first = fleet.complete("x" * 9_000, max_tokens=50)
        async with first as response:
            await response.content.readany()
            async with fleet.complete("y" * 9_000) as other:
                await read_problem(other, 503, "overloaded")


async def test_time_limit_ends_a_request_and_frees_its_memory():
    async with run_fleet(scale=1.0) as fleet:
        async with fleet.complete(
            "slow", max_tokens=5_000, X_Time_Limit="0.5"
        ) as response:
            events = await response.read()
        assert b"event: error" in events and b'"time-limit"' in events
        assert b"[DONE]" not in events
        await wait_for_free_memory(fleet)


async def test_disconnect_of_the_caller_frees_the_memory():
    async with run_fleet(scale=1.0) as fleet:
        response = await fleet.complete("long", max_tokens=5_000)
        await response.content.readany()
        assert fleet.engines[0].model.used_tokens > 0
        response.close()
        await wait_for_free_memory(fleet)
        assert fleet.runtime.count_open() == 0


async def test_cancellations_are_resent_until_confirmed():
    async with run_fleet(scale=1.0) as fleet:
        fleet.engines[0].cancellations_to_fail = 3
        response = await fleet.complete("long", max_tokens=5_000)
        await response.content.readany()
        response.close()
        await wait_for_free_memory(fleet)
        assert fleet.engines[0].cancellations_to_fail == 0


async def test_interrupted_stream_is_resumed_without_gap_or_repeat():
    async with run_fleet() as fleet:
        fleet.engines[0].drop_after = 3
        async with fleet.complete("resume me", max_tokens=12) as response:
            events = await response.read()
        assert read_text(events) == build_expected_text("resume me", 12)
        assert len(fleet.engines[0].started) == 1


async def test_invalid_response_of_an_engine_is_retried_on_another():
    async with run_fleet(2) as fleet:
        fleet.engines[0].sends_garbage = True
        for number in range(6):
            async with fleet.complete(f"question {number}") as response:
                expected = build_expected_text(f"question {number}", 4)
                assert read_text(await response.read()) == expected


async def test_invalid_response_of_the_only_engine_is_reported():
    async with run_fleet() as fleet:
        fleet.engines[0].sends_garbage = True
        async with fleet.complete("question") as response:
            await read_problem(response, 502, "upstream-garbled", ran="yes")


async def test_concurrency_limit_of_a_customer():
    async with run_fleet(scale=1.0) as fleet:
        async with fleet.complete("a", max_tokens=100, key="limited") as response:
            await response.content.readany()
            async with fleet.complete("b", key="limited") as other:
                await read_problem(other, 429, "customer-limit")
                assert int(other.headers["Retry-After"]) >= 1
            async with fleet.complete("b", key="keepers") as other:
                assert other.status == 200


async def test_order_with_one_idempotency_key_runs_once():
    async with run_fleet() as fleet:
        async with fleet.order("key-1") as response:
            first = await response.read()
        await fleet.wait_until(lambda: not fleet.runtime._tasks)
        async with fleet.order("key-1") as response:
            assert (response.status, await response.read()) == (200, first)
            assert response.headers["X-Repeated"] == "true"
        async with fleet.order("key-1", order="other", X_Time_Limit="5") as response:
            assert await response.read() == first
        async with fleet.post(
            b"{}", "/services/work-orders/orders", X_Order="none"
        ) as response:
            await read_problem(response, 428, "missing-idempotency-key")
        async with fleet.post(
            b'{"other": 1}', "/services/work-orders/orders", Idempotency_Key="key-1"
        ) as response:
            await read_problem(response, 422, "idempotency-conflict")
        assert fleet.service.calls == {"order": 1}


async def test_order_whose_response_was_lost_is_not_sent_again():
    async with run_fleet() as fleet:
        fleet.service.responses_to_drop = 1
        async with fleet.order("key-1") as response:
            await read_problem(response, 502, "upstream-failed", ran="unknown")
        async with fleet.order("key-1") as response:
            await read_problem(response, 409, "already-claimed", ran="unknown")
        assert fleet.service.calls == {"order": 1}


async def test_draining_engine_gets_no_new_requests():
    async with run_fleet(2) as fleet:
        fleet.engines[0].state = UpstreamState.DRAINING
        record = fleet.runtime.instance.catalog.get("engine-0")
        await fleet.wait_until(
            lambda: record.announcement.state is UpstreamState.DRAINING
        )
        before = len(fleet.engines[0].started)
        for number in range(8):
            async with fleet.complete(f"q{number}") as response:
                await response.read()
        assert len(fleet.engines[0].started) == before
        assert len(fleet.engines[1].started) >= 8


async def test_drain_finishes_what_is_open():
    from scalebend.edges.http_server import drain

    async with run_fleet(scale=0.5) as fleet:
        async with fleet.complete("open", max_tokens=30) as response:
            await response.content.readany()
            stopping = asyncio.create_task(drain(fleet.runtime, 10.0))
            await asyncio.sleep(0)
            async with fleet.session.get(f"{fleet.url}/health/ready") as ready:
                assert ready.status == 503
            async with fleet.complete("late") as late:
                await read_problem(late, 503, "not-ready")
            events = await response.read()
        assert events.endswith(b"data: [DONE]\n\n")
        assert await stopping


async def test_invalid_announcement_is_rejected():
    async with run_fleet() as fleet:
        valid = fleet.engines[0].build_announcement()
        invalid_changes = [
            ({"memory_tokens": -5}, "$.memory_tokens"),
            ({"memory_tokens": 10**12}, "$.memory_tokens"),
            ({"incarnation": 0}, "$.incarnation"),
            ({"address": "no-address"}, "$.address"),
            ({"prefill_rate": 0.0}, "$.prefill_rate"),
            ({"colour": "red"}, "$"),
        ]
        for change, path in invalid_changes:
            document = {**msgspec.to_builtins(valid), **change}
            async with fleet.post(document, "/upstreams/announce") as response:
                problem = await read_problem(response, 400, "invalid-announcement")
            assert problem["detail"].startswith(path)


async def test_prefill_and_decode_run_on_different_engines():
    async with run_fleet(5) as fleet:
        prompt = "a long inspection report " * 400
        for number in range(4):
            text = f"{prompt} {number}"
            async with fleet.complete(text, max_tokens=12) as response:
                assert read_text(await response.read()) == build_expected_text(text, 12)
        async with fleet.complete(prompt, max_tokens=5, stream=False) as response:
            document = await response.json()
        assert document["choices"][0]["text"] == build_expected_text(prompt, 5)
        async with fleet.complete(prompt, max_tokens=1) as response:
            assert read_text(await response.read()) == build_expected_text(prompt, 1)
        assert sum(len(engine.imported) for engine in fleet.engines) == 5
        assert all(not set(e.imported) & set(e.started) for e in fleet.engines)
        await wait_for_free_memory(fleet)


async def test_interrupted_stream_is_resumed_on_the_decode_engine():
    async with run_fleet(5) as fleet:
        for engine in fleet.engines:
            engine.drop_after = 6
        async with fleet.complete("resume me", max_tokens=12) as response:
            events = await response.read()
        assert read_text(events) == build_expected_text("resume me", 12)
        await wait_for_free_memory(fleet)


async def test_bytes_per_token_are_estimated_from_token_counts_of_engines():
    async with run_fleet() as fleet:
        sizes = fleet.runtime.instance.entry.placement.sizes
        before = sizes.estimate_tokens(MODEL, 40_000)
        sizes.learn(MODEL, 1_000, 1_000)
        skewed = sizes.estimate_tokens(MODEL, 40_000)
        assert skewed > before
        for number in range(20):
            async with fleet.complete(f"{number} " * 1_000) as response:
                await response.read()
        assert before <= sizes.estimate_tokens(MODEL, 40_000) < skewed


class Receiver(asyncio.DatagramProtocol):
    def __init__(self):
        self.lines = []

    def datagram_received(self, data, addr):
        self.lines += data.decode().split("\n")


async def test_metrics_are_sent_to_statsd():
    loop = asyncio.get_running_loop()
    transport, receiver = await loop.create_datagram_endpoint(
        Receiver, local_addr=("127.0.0.1", 0)
    )
    port = transport.get_extra_info("sockname")[1]
    async with run_fleet(statsd=Statsd(port=port)) as fleet:
        async with fleet.complete("count me") as response:
            await response.read()
        async with fleet.complete("x", key="stranger") as response:
            assert response.status == 401
        wanted = {
            "scalebend.request.finished:1|c",
            "scalebend.request.failed.unknown-key:1|c",
            "scalebend.tokens.output:4|c",
            "scalebend.configuration.version:0|g",
        }
        await fleet.wait_until(lambda: wanted <= set(receiver.lines))
        timers = {line.split(":")[0] for line in receiver.lines if "|ms" in line}
        assert "scalebend.request.first_token" in timers
    transport.close()


async def test_unresponsive_engine_delays_a_request_up_to_its_time_limit():
    async with run_fleet() as fleet:
        fleet.engines[0].never_responds = True
        started = fleet.runtime.now()
        async with fleet.complete("hello?", X_Time_Limit="0.6") as response:
            await read_problem(response, 504, "time-limit", ran="unknown")
        assert fleet.runtime.now() - started < 5.0
        fleet.engines[0].never_responds = False
        owner = fleet.runtime.instance.owners.get("engine-0")
        await fleet.wait_until(lambda: owner.ledger.used == 0)


async def test_truncated_stream_is_reported_as_an_error():
    async with run_fleet() as fleet:
        fleet.engines[0].drop_after = 3
        fleet.engines[0].drops_every_stream = True
        async with fleet.complete("cut me", max_tokens=12) as response:
            events = await response.read()
        assert b"event: error" in events and b"[DONE]" not in events
        assert b'"ran":"yes"' in events
        async with fleet.complete("cut me", max_tokens=12, stream=False) as response:
            assert response.status == 502
        await wait_for_free_memory(fleet)


async def test_slow_caller_uses_engine_memory_only_until_its_time_limit():
    async with run_fleet(scale=0.01) as fleet:
        long = "word " * 3_000
        async with fleet.complete(
            long, max_tokens=60_000, X_Time_Limit="1.5"
        ) as response:
            assert response.status == 200
            # The response is not read, so all buffers up to the caller fill up.
            await fleet.wait_until(lambda: fleet.runtime.count_open() == 0)
            await wait_for_free_memory(fleet)
            response.close()


async def test_announcement_of_an_older_incarnation_is_ignored():
    async with run_fleet() as fleet:
        valid = fleet.engines[0].build_announcement()
        newer = msgspec.structs.replace(valid, incarnation=9, concurrency=7)
        older = msgspec.structs.replace(valid, incarnation=8, concurrency=5)
        for announcement in (newer, older):
            body = msgspec.json.encode(announcement)
            async with fleet.post(body, "/upstreams/announce") as response:
                assert response.status == 202
        record = fleet.runtime.instance.catalog.get("engine-0")
        assert record.view.concurrency == 7
