"""A caller's request through a real instance to stand-in upstreams and back."""

import asyncio

import msgspec

from scalebend.models.settings import Limits, Statsd
from scalebend.models.upstream import UpstreamState
from scalebend.standins.engine_server import build_word
from tests.lib.builders import MODEL
from tests.lib.fleet import run_fleet


def build_answer(prompt, count):
    raw = msgspec.json.encode(prompt)
    return "".join(build_word(raw, offset) for offset in range(count))


def read_text(events):
    text = ""
    for line in events.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in msgspec.json.decode(line[6:])["choices"]:
                text += choice["text"]
    return text


async def read_problem(answer, status, kind, ran="no"):
    document = await answer.json(content_type="application/problem+json")
    assert (answer.status, document["type"]) == (status, kind), document
    assert document["ran"] == ran
    return document


async def wait_for_free_memory(fleet):
    await fleet.wait_until(
        lambda: all(engine.model.used_tokens == 0 for engine in fleet.engines)
    )


async def test_streamed_and_whole_answers_are_the_callers_own():
    async with run_fleet() as fleet:
        async with fleet.complete("where is the lamp?") as answer:
            assert answer.content_type == "text/event-stream"
            events = await answer.read()
        assert read_text(events) == build_answer("where is the lamp?", 4)
        assert events.endswith(b"data: [DONE]\n\n")
        async with fleet.complete("and the lens?", stream=False) as answer:
            document = await answer.json()
        assert document["choices"][0]["text"] == build_answer("and the lens?", 4)
        assert document["usage"]["completion_tokens"] == 4
        await wait_for_free_memory(fleet)


async def test_chat_completion():
    async with run_fleet() as fleet:
        body = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}]}
        body["max_tokens"] = 2
        async with fleet.post(body, "/v1/chat/completions") as answer:
            document = await answer.json()
    expected = build_answer(body["messages"], 2)
    assert document["choices"][0]["message"]["content"] == expected


async def test_million_tokens_pass_and_are_spread_over_several_engines():
    async with run_fleet(3, scale=0.02) as fleet:
        prompt = "dossier " * 475_000
        async with fleet.complete(prompt) as answer:
            assert answer.status == 200, await answer.text()
            assert read_text(await answer.read()) == build_answer(prompt, 4)
        await wait_for_free_memory(fleet)
        assert sum(engine.model.refused_full for engine in fleet.engines) == 0


async def test_bad_requests_are_refused_as_not_run():
    async with run_fleet() as fleet:
        async with fleet.post(b"{not json") as answer:
            await read_problem(answer, 400, "malformed-request")
        async with fleet.post({"model": MODEL}) as answer:
            await read_problem(answer, 400, "malformed-request")
        async with fleet.post({"model": 7, "prompt": "x"}) as answer:
            await read_problem(answer, 400, "malformed-request")
        async with fleet.post({"model": "none", "prompt": "x"}) as answer:
            await read_problem(answer, 404, "unknown-model")
        async with fleet.complete("x", key="stranger") as answer:
            await read_problem(answer, 401, "unknown-key")
        for limit in ("-1", "0", "soon", "nan", "1e9"):
            async with fleet.complete("x", X_Time_Limit=limit) as answer:
                await read_problem(answer, 400, "invalid-time-limit")
        async with fleet.complete("x", X_Priority="99") as answer:
            await read_problem(answer, 400, "malformed-request")
        async with fleet.post(b"{}", "/services/none/x") as answer:
            await read_problem(answer, 404, "unknown-service")
        async with fleet.post(b"{}", "/nowhere") as answer:
            await read_problem(answer, 404, "not-found")
        assert fleet.engines[0].started == []


async def test_body_over_the_limit_is_refused():
    limits = Limits(body_bytes=10_000, body_bytes_sum=15_000)
    async with run_fleet(limits=limits) as fleet:
        async with fleet.complete("x" * 10_000) as answer:
            await read_problem(answer, 413, "body-too-large")
        async with fleet.complete("x" * 9_000) as answer:
            assert answer.status == 200


async def test_sum_of_bodies_is_bounded():
    limits = Limits(body_bytes=10_000, body_bytes_sum=15_000)
    async with run_fleet(limits=limits, scale=1.0) as fleet:
        first = fleet.complete("x" * 9_000, max_tokens=50)
        async with first as answer:
            await answer.content.readany()
            async with fleet.complete("y" * 9_000) as other:
                await read_problem(other, 503, "overloaded")


async def test_time_limit_ends_a_request_and_gives_its_memory_back():
    async with run_fleet(scale=1.0) as fleet:
        async with fleet.complete(
            "slow", max_tokens=5_000, X_Time_Limit="0.5"
        ) as answer:
            events = await answer.read()
        assert b"event: error" in events and b'"time-limit"' in events
        assert b"[DONE]" not in events
        await wait_for_free_memory(fleet)


async def test_caller_that_hangs_up_cancels_what_it_held():
    async with run_fleet(scale=1.0) as fleet:
        answer = await fleet.complete("long", max_tokens=5_000)
        await answer.content.readany()
        assert fleet.engines[0].model.used_tokens > 0
        answer.close()
        await wait_for_free_memory(fleet)
        assert fleet.runtime.count_open() == 0


async def test_lost_cancellations_are_sent_until_confirmed():
    async with run_fleet(scale=1.0) as fleet:
        fleet.engines[0].ignore_cancellations = 3
        answer = await fleet.complete("long", max_tokens=5_000)
        await answer.content.readany()
        answer.close()
        await wait_for_free_memory(fleet)
        assert fleet.engines[0].ignore_cancellations == 0


async def test_lost_link_is_resumed_without_a_gap_or_repeat():
    async with run_fleet() as fleet:
        fleet.engines[0].drop_after = 3
        async with fleet.complete("resume me", max_tokens=12) as answer:
            events = await answer.read()
        assert read_text(events) == build_answer("resume me", 12)
        assert len(fleet.engines[0].started) == 1


async def test_garbage_from_an_engine_is_retried_on_another():
    async with run_fleet(2) as fleet:
        fleet.engines[0].garble = True
        for number in range(6):
            async with fleet.complete(f"question {number}") as answer:
                expected = build_answer(f"question {number}", 4)
                assert read_text(await answer.read()) == expected


async def test_garbage_from_the_only_engine_is_a_clear_error():
    async with run_fleet() as fleet:
        fleet.engines[0].garble = True
        async with fleet.complete("question") as answer:
            await read_problem(answer, 502, "upstream-garbled", ran="yes")


async def test_customers_concurrency_limit():
    async with run_fleet(scale=1.0) as fleet:
        async with fleet.complete("a", max_tokens=100, key="limited") as answer:
            await answer.content.readany()
            async with fleet.complete("b", key="limited") as other:
                await read_problem(other, 429, "customer-limit")
                assert int(other.headers["Retry-After"]) >= 1
            async with fleet.complete("b", key="keepers") as other:
                assert other.status == 200


async def test_order_runs_once_however_often_it_is_sent():
    async with run_fleet() as fleet:
        async with fleet.order("key-1") as answer:
            first = await answer.read()
        await fleet.wait_until(lambda: not fleet.runtime._tasks)
        async with fleet.order("key-1") as answer:
            assert (answer.status, await answer.read()) == (200, first)
            assert answer.headers["X-Repeated"] == "true"
        async with fleet.order("key-1", order="other", X_Time_Limit="5") as answer:
            assert await answer.read() == first
        async with fleet.post(
            b"{}", "/services/work-orders/orders", X_Order="none"
        ) as answer:
            await read_problem(answer, 428, "missing-idempotency-key")
        async with fleet.post(
            b'{"other": 1}', "/services/work-orders/orders", Idempotency_Key="key-1"
        ) as answer:
            await read_problem(answer, 422, "idempotency-conflict")
        assert fleet.service.calls == {"order": 1}


async def test_order_whose_answer_was_lost_is_not_sent_again():
    async with run_fleet() as fleet:
        fleet.service.drop_answers = 1
        async with fleet.order("key-1") as answer:
            await read_problem(answer, 502, "upstream-failed", ran="unknown")
        async with fleet.order("key-1") as answer:
            await read_problem(answer, 409, "already-claimed", ran="unknown")
        assert fleet.service.calls == {"order": 1}


async def test_leaving_engine_gets_nothing_new():
    async with run_fleet(2) as fleet:
        fleet.engines[0].state = UpstreamState.LEAVING
        record = fleet.runtime.instance.catalog.get("engine-0")
        await fleet.wait_until(
            lambda: record.announcement.state is UpstreamState.LEAVING
        )
        before = len(fleet.engines[0].started)
        for number in range(8):
            async with fleet.complete(f"q{number}") as answer:
                await answer.read()
        assert len(fleet.engines[0].started) == before
        assert len(fleet.engines[1].started) >= 8


async def test_drain_finishes_what_is_open():
    from scalebend.edges.http_server import drain

    async with run_fleet(scale=0.5) as fleet:
        async with fleet.complete("open", max_tokens=30) as answer:
            await answer.content.readany()
            stopping = asyncio.create_task(drain(fleet.runtime, 10.0))
            await asyncio.sleep(0)
            async with fleet.session.get(f"{fleet.url}/health/ready") as ready:
                assert ready.status == 503
            async with fleet.complete("late") as late:
                await read_problem(late, 503, "not-ready")
            events = await answer.read()
        assert events.endswith(b"data: [DONE]\n\n")
        assert await stopping


async def test_announcement_with_a_lie_is_refused():
    async with run_fleet() as fleet:
        truth = fleet.engines[0].build_announcement()
        lies = [
            ({"memory_tokens": -5}, "$.memory_tokens"),
            ({"memory_tokens": 10**12}, "$.memory_tokens"),
            ({"incarnation": 0}, "$.incarnation"),
            ({"address": "no-address"}, "$.address"),
            ({"prefill_rate": 0.0}, "$.prefill_rate"),
            ({"colour": "red"}, "$"),
        ]
        for change, path in lies:
            document = {**msgspec.to_builtins(truth), **change}
            async with fleet.post(document, "/upstreams/announce") as answer:
                problem = await read_problem(answer, 400, "invalid-announcement")
            assert problem["detail"].startswith(path)


async def test_prefill_and_decode_run_on_different_engines():
    async with run_fleet(5) as fleet:
        prompt = "a long inspection report " * 400
        for number in range(4):
            text = f"{prompt} {number}"
            async with fleet.complete(text, max_tokens=12) as answer:
                assert read_text(await answer.read()) == build_answer(text, 12)
        async with fleet.complete(prompt, max_tokens=5, stream=False) as answer:
            document = await answer.json()
        assert document["choices"][0]["text"] == build_answer(prompt, 5)
        async with fleet.complete(prompt, max_tokens=1) as answer:
            assert read_text(await answer.read()) == build_answer(prompt, 1)
        assert sum(len(engine.imported) for engine in fleet.engines) == 5
        assert all(not set(e.imported) & set(e.started) for e in fleet.engines)
        await wait_for_free_memory(fleet)


async def test_lost_link_is_resumed_on_the_decoding_engine():
    async with run_fleet(5) as fleet:
        for engine in fleet.engines:
            engine.drop_after = 6
        async with fleet.complete("resume me", max_tokens=12) as answer:
            events = await answer.read()
        assert read_text(events) == build_answer("resume me", 12)
        await wait_for_free_memory(fleet)


async def test_bytes_per_token_are_learned_from_the_engines_counts():
    async with run_fleet() as fleet:
        sizes = fleet.runtime.instance.entry.placement.sizes
        before = sizes.estimate_tokens(MODEL, 40_000)
        sizes.learn(MODEL, 1_000, 1_000)
        skewed = sizes.estimate_tokens(MODEL, 40_000)
        assert skewed > before
        for number in range(20):
            async with fleet.complete(f"{number} " * 1_000) as answer:
                await answer.read()
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
        async with fleet.complete("count me") as answer:
            await answer.read()
        async with fleet.complete("x", key="stranger") as answer:
            assert answer.status == 401
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


async def test_engine_that_never_answers_costs_no_more_than_the_time_limit():
    async with run_fleet() as fleet:
        fleet.engines[0].never_answers = True
        started = fleet.runtime.now()
        async with fleet.complete("hello?", X_Time_Limit="0.6") as answer:
            await read_problem(answer, 504, "time-limit", ran="unknown")
        assert fleet.runtime.now() - started < 5.0
        fleet.engines[0].never_answers = False
        owner = fleet.runtime.instance.owners.get("engine-0")
        await fleet.wait_until(lambda: owner.ledger.used == 0)


async def test_half_a_stream_is_never_taken_for_a_whole_one():
    async with run_fleet() as fleet:
        fleet.engines[0].drop_after = 3
        fleet.engines[0].cuts_every_stream = True
        async with fleet.complete("cut me", max_tokens=12) as answer:
            events = await answer.read()
        assert b"event: error" in events and b"[DONE]" not in events
        assert b'"ran":"yes"' in events
        async with fleet.complete("cut me", max_tokens=12, stream=False) as answer:
            assert answer.status == 502
        await wait_for_free_memory(fleet)


async def test_slow_caller_holds_its_engine_only_until_its_time_limit():
    async with run_fleet(scale=0.01) as fleet:
        long = "word " * 3_000
        async with fleet.complete(
            long, max_tokens=60_000, X_Time_Limit="1.5"
        ) as answer:
            assert answer.status == 200
            # Nothing is read: the buffers between engine and caller fill up.
            await fleet.wait_until(lambda: fleet.runtime.count_open() == 0)
            await wait_for_free_memory(fleet)
            answer.close()


async def test_announcement_of_an_older_incarnation_is_ignored():
    async with run_fleet() as fleet:
        truth = fleet.engines[0].build_announcement()
        newer = msgspec.structs.replace(truth, incarnation=9, concurrency=7)
        older = msgspec.structs.replace(truth, incarnation=8, concurrency=5)
        for announcement in (newer, older):
            body = msgspec.json.encode(announcement)
            async with fleet.post(body, "/upstreams/announce") as answer:
                assert answer.status == 202
        record = fleet.runtime.instance.catalog.get("engine-0")
        assert record.view.concurrency == 7
