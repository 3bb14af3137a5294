from hypothesis import given, strategies as st

from scalebend.core.gateway.retry_window import RetryWindow
from tests.lib.gateway_builders import SERVICE

RATIO, ALLOWANCE, WINDOW = 0.2, 106.0, 10.0

EVENTS = st.lists(
    st.tuples(st.integers(0, 8), st.floats(0, 30), st.booleans()), max_size=600
)


@given(EVENTS)
def test_all_fronts_together_stay_within_the_budget(events):
    fronts = [RetryWindow(RATIO, ALLOWANCE, WINDOW) for _ in range(9)]
    requests, retries = [], []
    for front in fronts:
        front.update_front_count(9, -10.0)
    for number, at, is_retry in sorted(events, key=lambda event: event[1]):
        if not is_retry:
            fronts[number].record_request(SERVICE, at)
            requests.append(at)
        elif fronts[number].spend(SERVICE, at):
            retries.append(at)
    for end in retries:
        spent = sum(end - WINDOW < at <= end for at in retries)
        earned = sum(end - WINDOW < at <= end for at in requests)
        assert spent <= RATIO * earned + ALLOWANCE


def test_window_slides():
    window = RetryWindow(0.0, 10.0, WINDOW)
    window.update_front_count(1, -10.0)
    taken = sum(window.spend(SERVICE, 0.0) for _ in range(20))
    assert taken == 7
    assert not window.spend(SERVICE, 9.9)
    assert window.spend(SERVICE, 10.1)


def test_services_have_separate_budgets():
    window = RetryWindow(0.0, 2.0, WINDOW)
    window.update_front_count(1, -10.0)
    assert window.spend(SERVICE, 0.0)
    assert not window.spend(SERVICE, 0.0)
    assert window.spend("other", 0.0)


def test_low_front_count_of_a_new_control_instance_is_ignored():
    window = RetryWindow(0.0, 90.0, WINDOW)
    window.update_front_count(9, 0.0)
    window.update_front_count(1, 5.0)
    assert sum(window.spend(SERVICE, 6.0) for _ in range(90)) == 7


def test_new_front_does_not_use_the_allowance_yet():
    window = RetryWindow(0.0, 90.0, WINDOW)
    assert not window.spend(SERVICE, 0.0)
    window.update_front_count(1, 1.0)
    assert not window.spend(SERVICE, 1.5)
    assert window.spend(SERVICE, 3.5)


def test_lower_front_count_applies_after_a_while():
    window = RetryWindow(0.0, 90.0, WINDOW)
    window.update_front_count(9, 0.0)
    window.update_front_count(3, 31.0)
    assert sum(window.spend(SERVICE, 32.0) for _ in range(90)) == 21
