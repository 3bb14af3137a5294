"""Cold replicas under load: no more in any second than they may get, summed over all.

The load is that of the callers of warm replicas when some of these turn cold: far more
than a cold one takes, with short responses, so that its slots don't bound it.
"""

from tests.lib.slow_start_load import ALLOWED, SLOW_START, SlowStartLoad

FRONTS = 8


def test_cold_replica_gets_no_more_than_allowed_in_any_second():
    load = SlowStartLoad(FRONTS, 6, rate=200.0)
    load.run(2.0)
    cold = load.names[0]
    since = load.now
    load.turn_cold([cold])
    load.run(SLOW_START.cold_s)
    assert load.count_most(cold, since) <= ALLOWED


def test_replica_gets_no_more_before_its_registration_says_that_it_is_cold():
    load = SlowStartLoad(FRONTS, 6, rate=200.0)
    load.run(5.0)
    assert load.count_worst() <= ALLOWED
