from lagooncrank.core.membership import _delay


def test_clock_drift_does_not_accumulate() -> None:
    estimator = _delay.DelayEstimator()
    drift_ms = 0
    for minute in range(10):
        sent_ms = minute * 60_000
        drift_ms = minute * 100
        delay_ms = estimator.delay_ms(sent_ms, sent_ms + drift_ms)
        assert delay_ms <= 200, f"minute {minute}"


def test_delayed_message_is_distinguished_from_prompt_ones() -> None:
    estimator = _delay.DelayEstimator()
    delays_ms = [
        estimator.delay_ms(sent_ms, received_ms)
        for sent_ms, received_ms in [(0, 7), (100, 105), (200, 905), (300, 306)]
    ]
    assert delays_ms == [0, 0, 700, 1]
