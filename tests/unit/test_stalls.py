"""Periodic timers after a stall of the process."""

from scalebend.edges.stalls import MIN_STALL_S, StallGuard

INTERVAL_S = 0.02


def build_guard(stalls):
    return StallGuard(INTERVAL_S, 0.0, lambda: stalls.append(None))


# Guards against conclusions from messages that wait unread in the sockets.
def test_first_tick_after_a_stall_is_skipped():
    stalls = []
    guard = build_guard(stalls)
    assert guard.may_run(INTERVAL_S)
    stalled_until = 2 * INTERVAL_S + MIN_STALL_S
    assert not guard.may_run(stalled_until)
    assert guard.may_run(stalled_until + INTERVAL_S)
    assert len(stalls) == 1


def test_short_delay_is_no_stall():
    guard = build_guard([])
    assert guard.may_run(INTERVAL_S + MIN_STALL_S / 2)


# Guards against timers that never run where every tick is late.
def test_every_second_tick_runs_on_a_host_that_stalls_all_the_time():
    guard = build_guard([])
    ticks = [(MIN_STALL_S + 2 * INTERVAL_S) * number for number in range(1, 7)]
    assert [guard.may_run(now) for now in ticks] == [False, True] * 3
