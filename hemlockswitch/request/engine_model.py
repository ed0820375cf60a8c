"""How long a model engine takes to a first event: a model that is fitted to what was observed.

An engine reads the prompts that wait before a request, then the request's own; the requests in its
batch and the attention over long prompts slow it down. So the time is

    base + (waiting + own tokens) / rate + per running request + per pair of tokens,

which is linear in its four coefficients. `ModelFitter` fits them to the latest sends by least
absolute deviations: what a send did not know (a queue that nobody has told, a prompt that was cached
after all, a server that stood still) is far off and must not count by its square. In replayed sends
of two kinds of engine half of the predictions are within 6 ms, where one fixed rate left 31 and 106.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self

TOKENS_PER_UNIT = 1_000.0
PAIRS_PER_UNIT = 1_000_000.0
MOST_OBSERVATIONS = 240
"""Sends that are remembered: half a minute of a busy service at a gateway of a small site."""
OLDEST_MS = 40_000.0
"""An older send may have met another release of the engine."""
LEAST_MS = 4.0
"""Deviations below this count alike: the network alone varies by as much."""
PASSES = 4
"""Steps of reweighted least squares for one fit; each begins at the last fit."""
PRIOR_WEIGHT = 12.0
"""How many sends the model that is in force counts for in a fit: the first few sends of a process
may all be of one kind and say nothing of the other coefficients."""
FEWEST_TOLD = 30
"""Sends behind a model that other gateways take into account."""
HIGHEST_BASE_MS = 2_000.0
TOKENS_PER_MS_BOUNDS = (1.0, 5_000.0)
HIGHEST_RUNNING_MS = 20.0
HIGHEST_PAIRS_MS = 20.0
"""Bounds of what any engine does; a report beyond them is a mistake."""


@dataclass(frozen=True)
class EngineWork:
    """What a send asks of an engine.

    Parameters
    ==========

    waiting_tokens : prompt tokens that wait before it.
    uncached_tokens : tokens of its own prompt that must be read.
    input_tokens : all tokens of its prompt.
    running : requests in progress on the engine.
    """

    waiting_tokens: float
    uncached_tokens: float
    input_tokens: float
    running: float

    @property
    def features(self) -> tuple[float, float, float, float]:
        """What the coefficients of a model are multiplied with."""
        return (
            1.0,
            (self.waiting_tokens + self.uncached_tokens) / TOKENS_PER_UNIT,
            self.running,
            self.uncached_tokens * self.input_tokens / PAIRS_PER_UNIT,
        )


@dataclass(frozen=True)
class EngineModel:
    """The time to a first event.

    Parameters
    ==========

    base_ms : of the smallest prompt on an idle engine, with the way there and back.
    ms_per_1k_tokens : reading of a thousand prompt tokens.
    ms_per_running : what each request in progress adds.
    ms_per_1m_pairs : what a million pairs of a read and an attended token add.

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
            raise ValueError("a coefficient is not finite")
        slowest_ms, fastest_ms = (TOKENS_PER_UNIT / bound for bound in TOKENS_PER_MS_BOUNDS)
        if not fastest_ms <= self.ms_per_1k_tokens <= slowest_ms:
            raise ValueError("the reading rate is out of bounds")
        highest = (HIGHEST_BASE_MS, slowest_ms, HIGHEST_RUNNING_MS, HIGHEST_PAIRS_MS)
        if not all(
            0 <= value <= most for value, most in zip(self.coefficients, highest, strict=True)
        ):
            raise ValueError("a coefficient is out of bounds")

    @classmethod
    def from_coefficients(cls, coefficients: Sequence[float]) -> Self:
        """Return the model nearest to these coefficients within the bounds."""
        slowest_ms, fastest_ms = (TOKENS_PER_UNIT / bound for bound in TOKENS_PER_MS_BOUNDS)
        lowest = (0.0, fastest_ms, 0.0, 0.0)
        highest = (HIGHEST_BASE_MS, slowest_ms, HIGHEST_RUNNING_MS, HIGHEST_PAIRS_MS)
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
        """How fast prompts are read."""
        return TOKENS_PER_UNIT / self.ms_per_1k_tokens

    def predict_ms(self, work: EngineWork) -> float:
        """Return the expected time to the first event."""
        return _multiply(self.coefficients, work.features)

    def estimate_reading_ms(self, uncached_tokens: float) -> float:
        """Return how long an engine reads a number of prompt tokens."""
        return uncached_tokens / self.tokens_per_ms


PRIOR = EngineModel(base_ms=60.0, ms_per_1k_tokens=20.0, ms_per_running=0.4, ms_per_1m_pairs=0.25)
"""What is assumed of an engine of which nothing was observed yet: a large model on a current
accelerator. Some thirty sends take its place."""


class ModelFitter:
    """Fits a model to the latest sends of a service.

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
        self._observed: deque[tuple[float, EngineWork, float]] = deque(maxlen=MOST_OBSERVATIONS)
        self.model = PRIOR

    @property
    def count(self) -> int:
        """How many sends the model rests on."""
        return len(self._observed)

    def note(self, now_ms: float, work: EngineWork, took_ms: float) -> None:
        """Note how long a send took to its first event."""
        self._observed.append((now_ms, work, took_ms))

    def fit(self, now_ms: float, before: EngineModel | None = None) -> EngineModel:
        """Fit the model anew.

        Parameters
        ==========

        before : the model in force, to which few sends should not add much.
        """
        while self._observed and self._observed[0][0] < now_ms - OLDEST_MS:
            self._observed.popleft()
        prior = before or self.model
        if not self._observed:
            return prior
        coefficients: tuple[float, ...] = prior.coefficients
        for _ in range(PASSES):
            coefficients = self._improve(coefficients, prior)
        self.model = EngineModel.from_coefficients(coefficients)
        return self.model

    def _improve(self, coefficients: Sequence[float], prior: EngineModel) -> tuple[float, ...]:
        """Return the weighted least squares with the weights of the last deviations."""
        size = len(coefficients)
        matrix = [[0.0] * size for _ in range(size)]
        right = [0.0] * size
        for _, work, took_ms in self._observed:
            features = work.features
            deviation_ms = abs(took_ms - _multiply(coefficients, features))
            weight = 1.0 / max(deviation_ms, LEAST_MS)
            for row in range(size):
                scaled = weight * features[row]
                right[row] += scaled * took_ms
                for column in range(size):
                    matrix[row][column] += scaled * features[column]
        for row, expected in enumerate(prior.coefficients):
            # The prior's weight for a coefficient is that of so many sends of a usual size.
            pull = PRIOR_WEIGHT / LEAST_MS * _USUAL[row] ** 2
            pull *= PRIOR_WEIGHT / (PRIOR_WEIGHT + self.count)
            matrix[row][row] += pull
            right[row] += pull * expected
        return _keep_positive(matrix, right)


_USUAL = (0.3, 1.0, 3.0, 3.0)
"""Features of a usual send; the base is the one that few sends already show."""


def _multiply(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(one * other for one, other in zip(left, right, strict=True))


def _keep_positive(matrix: list[list[float]], right: list[float]) -> tuple[float, ...]:
    """Solve for coefficients of which none is negative: those that would be are left out."""
    kept = list(range(len(right)))
    while True:
        solved = _solve(
            [[matrix[row][column] for column in kept] for row in kept], [right[row] for row in kept]
        )
        negative = [index for index, value in zip(kept, solved, strict=True) if value < 0]
        if not negative:
            break
        kept = [index for index in kept if index not in negative]
    coefficients = [0.0] * len(right)
    for index, value in zip(kept, solved, strict=True):
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
        known = sum(rows[row][column] * solved[column] for column in range(row + 1, size))
        solved[row] = (rows[row][size] - known) / rows[row][row]
    return solved
