"""Bodies of requests are forwarded as their headers describe them."""

import gzip

from tests.lib.front import answer_sealed, serve
from tests.lib.gateway_builders import build_routing
from tests.lib.stopping_front import run_stopping_front

TEXT = b"a prompt " * 100


async def test_encoded_body_reaches_the_upstream_as_it_was_sent():
    """Guards against a decoded body under the header of an encoded one."""
    received = []

    async def record(request):
        received.append((request.headers["Content-Encoding"], await request.read()))
        return await answer_sealed(request)

    encoded = gzip.compress(TEXT)
    async with (
        run_stopping_front(build_routing()) as front,
        serve(record, auto_decompress=False) as address,
    ):
        front.add(1, address)
        async with front.call(body=encoded, encoding="gzip") as response:
            assert response.status == 200
    assert received == [("gzip", encoded)]
