"""Latency model of an engine: predicts the time to the first event, fitted to observations.

An engine processes the prompts queued before a request, then the request's own prompt; the requests in
its batch and the attention over long prompts slow it down. The time is

    base + (waiting + own tokens) / rate + per running request + per pair of tokens,

which is linear in its four coefficients. `ModelFitter` fits them to the latest attempts by least
absolute deviations. Conditions that a prediction could not include (an unreported queue, a prompt that
turned out to be cached, a stalled server) cause outliers, which least squares would overweight.
On replayed attempts with two kinds of engines, half of the predictions are within 6 ms; with a single
fixed rate the median error was 31 ms and 106 ms.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self

TOKENS_PER_UNIT = 1_000.0
PAIRS_PER_UNIT = 1_000_000.0
MAX_OBSERVATIONS = 240
"""Equals half a minute of a busy service at a gateway of a small site."""
MAX_OBSERVATION_AGE_MS = 40_000.0
"""An older attempt may have been answered by a different release of the engine."""
MIN_DEVIATION_MS = 4.0
"""Smaller deviations are weighted equally: network latency alone varies by this much."""
FIT_ITERATIONS = 4
"""Iterations of reweighted least squares per fit; each starts from the previous result."""
PRIOR_WEIGHT = 12.0
"""Number of attempts that the current model is weighted as in a fit: the first attempts of a process
may be uniform and provide no information on some coefficients."""
MIN_REPORTED_OBSERVATIONS = 30
"""Number of attempts that a model must be fitted to before other gateways use it."""
MAX_BASE_MS = 2_000.0
TOKENS_PER_MS_BOUNDS = (1.0, 5_000.0)
MAX_MS_PER_RUNNING = 20.0
MAX_MS_PER_1M_PAIRS = 20.0
"""These bounds hold for any engine; a reported model outside them is invalid."""


@dataclass(frozen=True)
class EngineWork:
    """The work that one attempt causes on an engine.

    Parameters
    ==========

    waiting_tokens : prompt tokens queued before it.
    uncached_tokens : tokens of its own prompt that the engine must process.
    input_tokens : all tokens of its prompt.
    running : requests in progress on the engine.
    """

    waiting_tokens: float
    uncached_tokens: float
    input_tokens: float
    running: float

    @property
    def features(self) -> tuple[float, float, float, float]:
        """The regression features, one for each coefficient of an `EngineModel`."""
        return (
            1.0,
            (self.waiting_tokens + self.uncached_tokens) / TOKENS_PER_UNIT,
            self.running,
            self.uncached_tokens * self.input_tokens / PAIRS_PER_UNIT,
        )


@dataclass(frozen=True)
class EngineModel:
    """Linear model of the time to the first event.

    Parameters
    ==========

    base_ms : time of the smallest prompt on an idle engine, including the round trip.
    ms_per_1k_tokens : time to process a thousand prompt tokens.
    ms_per_running : time added by each request in progress.
    ms_per_1m_pairs : time added by a million pairs of a processed and an attended token.

    Examples
    ========

    >>> model = EngineModel(40.0, 10.0, 0.5, 0.0)
    >>> model.tokens_per_ms
    100.0
    >>> model.predict_ms(EngineWork(3_000, 2_000, 2_000, running=4))
    92.0
    """

    base_ms: float
    ms_per_1k_tokens: float
    ms_per_running: float
    ms_per_1m_pairs: float

    def __post_init__(self) -> None:
        if not all(math.isfinite(value) for value in self.coefficients):
            raise ValueError("a coefficient of the engine model is not finite")
        slowest_ms, fastest_ms = (TOKENS_PER_UNIT / bound for bound in TOKENS_PER_MS_BOUNDS)
        if not fastest_ms <= self.ms_per_1k_tokens <= slowest_ms:
            raise ValueError("the prompt processing rate of the engine model is out of bounds")
        highest = (MAX_BASE_MS, slowest_ms, MAX_MS_PER_RUNNING, MAX_MS_PER_1M_PAIRS)
        if not all(
            0 <= value <= most for value, most in zip(self.coefficients, highest, strict=True)
        ):
            raise ValueError("a coefficient of the engine model is out of bounds")

    @classmethod
    def from_coefficients(cls, coefficients: Sequence[float]) -> Self:
        """Return the model with these coefficients clamped to the bounds."""
        slowest_ms, fastest_ms = (TOKENS_PER_UNIT / bound for bound in TOKENS_PER_MS_BOUNDS)
        lowest = (0.0, fastest_ms, 0.0, 0.0)
        highest = (MAX_BASE_MS, slowest_ms, MAX_MS_PER_RUNNING, MAX_MS_PER_1M_PAIRS)
        bounded = (
            min(max(value, least), most)
            for value, least, most in zip(coefficients, lowest, highest, strict=True)
        )
        return cls(*bounded)

    @property
    def coefficients(self) -> tuple[float, float, float, float]:
        """The four coefficients, in the order of `EngineWork.features`."""
        return (self.base_ms, self.ms_per_1k_tokens, self.ms_per_running, self.ms_per_1m_pairs)

    @property
    def tokens_per_ms(self) -> float:
        """Rate at which an engine processes prompts."""
        return TOKENS_PER_UNIT / self.ms_per_1k_tokens

    def predict_ms(self, work: EngineWork) -> float:
        """Return the predicted time to the first event."""
        return _multiply(self.coefficients, work.features)

    def estimate_prefill_ms(self, uncached_tokens: float) -> float:
        """Return the time to process a number of uncached prompt tokens."""
        return uncached_tokens / self.tokens_per_ms


PRIOR = EngineModel(base_ms=60.0, ms_per_1k_tokens=20.0, ms_per_running=0.4, ms_per_1m_pairs=0.25)
"""Assumed before any observation: a large model on a current accelerator. About thirty attempts
outweigh it."""


class ModelFitter:
    """Fits an `EngineModel` to the latest attempts of a service.

    Examples
    ========

    >>> engine = EngineModel(30.0, 8.0, 0.0, 0.0)
    >>> fitter = ModelFitter()
    >>> for number in range(120):
    ...     work = EngineWork(0, 100.0 * (number % 40), 4_000, running=number % 7)
    ...     fitter.note(number * 50.0, work, engine.predict_ms(work))
    >>> round(fitter.fit(6_000.0).ms_per_1k_tokens)
    8
    """

    def __init__(self) -> None:
        self._observations: deque[tuple[float, EngineWork, float]] = deque(maxlen=MAX_OBSERVATIONS)
        self.model = PRIOR

    @property
    def count(self) -> int:
        """Number of attempts that the model is fitted to."""
        return len(self._observations)

    def note(self, now_ms: float, work: EngineWork, took_ms: float) -> None:
        """Record the time from an attempt to its first event."""
        self._observations.append((now_ms, work, took_ms))

    def fit(self, now_ms: float, before: EngineModel | None = None) -> EngineModel:
        """Fit the model to the recorded attempts.

        Parameters
        ==========

        before : the current model, used as the prior; few attempts change it only slightly.
        """
        while self._observations and self._observations[0][0] < now_ms - MAX_OBSERVATION_AGE_MS:
            self._observations.popleft()
        prior = before or self.model
        if not self._observations:
            return prior
        coefficients: tuple[float, ...] = prior.coefficients
        for _ in range(FIT_ITERATIONS):
            coefficients = self._reweight(coefficients, prior)
        self.model = EngineModel.from_coefficients(coefficients)
        return self.model

    def _reweight(self, coefficients: Sequence[float], prior: EngineModel) -> tuple[float, ...]:
        """Return the weighted least squares fit, with weights from the deviations of `coefficients`."""
        size = len(coefficients)
        matrix = [[0.0] * size for _ in range(size)]
        right = [0.0] * size
        for _, work, took_ms in self._observations:
            features = work.features
            deviation_ms = abs(took_ms - _multiply(coefficients, features))
            weight = 1.0 / max(deviation_ms, MIN_DEVIATION_MS)
            for row in range(size):
                scaled = weight * features[row]
                right[row] += scaled * took_ms
                for column in range(size):
                    matrix[row][column] += scaled * features[column]
        for row, expected in enumerate(prior.coefficients):
            # The prior of a coefficient is weighted as `PRIOR_WEIGHT` attempts of typical size.
            pull = PRIOR_WEIGHT / MIN_DEVIATION_MS * _TYPICAL_FEATURES[row] ** 2
            pull *= PRIOR_WEIGHT / (PRIOR_WEIGHT + self.count)
            matrix[row][row] += pull
            right[row] += pull * expected
        return _solve_non_negative(matrix, right)


_TYPICAL_FEATURES = (0.3, 1.0, 3.0, 3.0)
"""Features of a typical attempt. The base has a small value because few attempts determine it."""


def _multiply(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(one * other for one, other in zip(left, right, strict=True))


def _solve_non_negative(matrix: list[list[float]], right: list[float]) -> tuple[float, ...]:
    """Solve for non-negative coefficients: those that would be negative are set to 0."""
    active = list(range(len(right)))
    while True:
        solved = _solve(
            [[matrix[row][column] for column in active] for row in active],
            [right[row] for row in active],
        )
        negative = [index for index, value in zip(active, solved, strict=True) if value < 0]
        if not negative:
            break
        active = [index for index in active if index not in negative]
    coefficients = [0.0] * len(right)
    for index, value in zip(active, solved, strict=True):
        coefficients[index] = value
    return tuple(coefficients)


def _solve(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a small positive definite system by elimination."""
    size = len(right)
    rows = [[*matrix[row], right[row]] for row in range(size)]
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            for column in range(pivot, size + 1):
                rows[row][column] -= factor * rows[pivot][column]
    solved = [0.0] * size
    for row in reversed(range(size)):
        solved_sum = sum(rows[row][column] * solved[column] for column in range(row + 1, size))
        solved[row] = (rows[row][size] - solved_sum) / rows[row][row]
    return solved
