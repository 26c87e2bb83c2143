"""Estimates of the output and the cost of requests."""


class MovingAverage:
    """Exponentially weighted moving average with an initial value.

    >>> mean = MovingAverage(start=100.0, gain=0.5)
    >>> mean.add(200.0)
    >>> mean.value
    150.0
    """

    def __init__(self, start: float, gain: float) -> None:
        self.value = start
        self._gain = gain

    def add(self, sample: float) -> None:
        """Moves the mean towards `sample`."""
        self.value += self._gain * (sample - self.value)


def expected_output(mean_tokens: float, max_output_tokens: int) -> int:
    """Returns the expected output tokens of a request, at least one.

    >>> expected_output(250.4, max_output_tokens=64)
    64
    """
    return max(1, min(round(mean_tokens), max_output_tokens))


def weight(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the prompt and output tokens of a request per output token.

    A running request occupies one slot and processes tokens in proportion to
    this weight. Limits on weight therefore compare accounts by tokens per
    second instead of by requests.

    >>> weight(prompt_tokens=300, output_tokens=100)
    4.0
    """
    return min((prompt_tokens + output_tokens) / output_tokens, MAX_WEIGHT)


#: Upper bound of a weight: a request counts at most this many times as much as
#: the lightest possible one.
MAX_WEIGHT = 8.0
