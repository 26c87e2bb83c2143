"""Running estimates that admission learns from finished requests."""


class MovingAverage:
    """Exponentially weighted mean with a starting value.

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
    """Returns the output tokens expected of a request, at least one.

    >>> expected_output(250.4, max_output_tokens=64)
    64
    """
    return max(1, min(round(mean_tokens), max_output_tokens))


def weight(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the tokens that a request costs per token that it generates.

    While a request runs it holds one slot and uses its estimated tokens in
    proportion to this weight, so weights compare accounts in tokens per second
    and not in requests.

    >>> weight(prompt_tokens=300, output_tokens=100)
    4.0
    """
    return min((prompt_tokens + output_tokens) / output_tokens, MAX_WEIGHT)


#: A request counts as at most this many of the lightest ones.
MAX_WEIGHT = 8.0
