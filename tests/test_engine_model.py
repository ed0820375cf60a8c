"""Fitting of the engine model: to engines of any speed, few attempts, outliers, and reports of peers.

The engines process 20 to 240 prompt tokens per millisecond and take 30 to 300 ms to the first event of
the smallest prompt, as engines of different sizes do. Some attempts are outliers, because they meet an
unreported queue or a prompt that turned out to be cached.
"""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.service_models import (
    REPORTED_MODEL_LIFETIME_MS,
    ServiceModels,
)
from hemlockswitch.request.engine_model import (
    MAX_OBSERVATION_AGE_MS,
    MIN_REPORTED_OBSERVATIONS,
    PRIOR,
    EngineModel,
    EngineWork,
    ModelFitter,
)
from hemlockswitch.request.placement import PRIOR_CALL_MS

ENGINES = [
    EngineModel(base_ms, 1_000 / rate, running_ms, 0.2)
    for base_ms, rate, running_ms in ((36, 66, 0.5), (300, 20, 2.0), (105, 44, 0.0), (30, 240, 0.1))
]


def draw_work(rng):
    tokens = min(rng.lognormvariate(7.5, 1.2), 50_000)
    waiting = rng.choice((0, 0, rng.uniform(0, 12_000)))
    return EngineWork(waiting, tokens, tokens * rng.uniform(1, 2), rng.randrange(20))


def draw_attempts(engine, rng, count, misled=0.0):
    for number in range(count):
        work = draw_work(rng)
        took_ms = engine.predict_ms(work) * rng.uniform(0.97, 1.05)
        if rng.random() < misled:
            took_ms = rng.choice(
                (took_ms * rng.uniform(0.2, 0.6), took_ms + rng.uniform(50, 4_000))
            )
        yield number * 100.0, work, took_ms


def measure_error(model, engine, seed=99):
    """Return the median relative error of the predictions."""
    rng = random.Random(seed)
    errors = []
    for _ in range(300):
        work = draw_work(rng)
        errors.append(abs(model.predict_ms(work) / engine.predict_ms(work) - 1))
    return sorted(errors)[len(errors) // 2]


@pytest.mark.parametrize("engine", ENGINES)
@pytest.mark.parametrize(("count", "misled", "most"), [(200, 0.0, 0.04), (200, 0.25, 0.1)])
def test_model_is_fitted_despite_outliers(engine, count, misled, most):
    fitter = ModelFitter()
    for now_ms, work, took_ms in draw_attempts(engine, random.Random(1), count, misled):
        fitter.note(now_ms, work, took_ms)
        if fitter.count % 20 == 0:
            fitter.fit(now_ms)
    assert measure_error(fitter.model, engine) <= most
    assert measure_error(PRIOR, engine) > 2 * measure_error(fitter.model, engine)


@pytest.mark.parametrize("engine", ENGINES)
def test_thirty_attempts_improve_on_the_prior(engine):
    fitter = ModelFitter()
    for now_ms, work, took_ms in draw_attempts(engine, random.Random(2), MIN_REPORTED_OBSERVATIONS):
        fitter.note(now_ms, work, took_ms)
    for _ in range(3):
        fitter.fit(3_000.0)
    assert measure_error(fitter.model, engine) < measure_error(PRIOR, engine)


def test_uniform_attempts_keep_undetermined_coefficients():
    fitter = ModelFitter()
    for number in range(40):
        fitter.note(number, EngineWork(0, 0, 500, 3), 40.0)
    model = fitter.fit(100.0)
    assert model.tokens_per_ms == pytest.approx(PRIOR.tokens_per_ms, rel=0.5)
    assert model.predict_ms(EngineWork(0, 0, 500, 3)) == pytest.approx(40.0, rel=0.1)


def test_model_follows_a_release_with_a_different_speed():
    fitter = ModelFitter()
    for now_ms, work, took_ms in draw_attempts(ENGINES[0], random.Random(3), 200):
        fitter.note(now_ms, work, took_ms)
    fitter.fit(20_000.0)
    later_ms = 20_000.0 + MAX_OBSERVATION_AGE_MS
    for now_ms, work, took_ms in draw_attempts(ENGINES[1], random.Random(4), 100):
        fitter.note(later_ms + now_ms, work, took_ms)
    for _ in range(3):
        fitter.fit(later_ms + 10_000.0)
    assert measure_error(fitter.model, ENGINES[1]) < 0.1


def test_prior_is_used_without_attempts():
    assert ModelFitter().fit(0.0) == PRIOR


SENDS = st.lists(
    st.tuples(*(st.floats(0, 1e6) for _ in range(3)), st.floats(0, 500), st.floats(0, 1e6)),
    max_size=40,
)


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(SENDS)
def test_whatever_was_seen_the_model_is_within_its_bounds(sends):
    fitter = ModelFitter()
    for waiting, uncached, total, running, took_ms in sends:
        fitter.note(0.0, EngineWork(waiting, uncached, total, running), took_ms)
    model = fitter.fit(1.0)
    assert all(math.isfinite(value) and value >= 0 for value in model.coefficients)
    assert EngineModel(*model.coefficients) == model


def make_models(engine=None, count=MIN_REPORTED_OBSERVATIONS):
    models = ServiceModels(ManualClock())
    if engine is not None:
        for _, work, took_ms in draw_attempts(engine, random.Random(5), count):
            models.record_first_event("llm", work, took_ms)
        models.fit()
    return models


def test_new_process_uses_the_model_of_the_first_report():
    reported = make_models(ENGINES[1], 200).describe_own()
    new = make_models()
    assert new.get("llm") == PRIOR
    new.apply_report("g2", reported)
    assert measure_error(new.get("llm"), ENGINES[1]) < 0.1


def test_model_with_few_observations_is_not_reported():
    assert make_models(ENGINES[0], MIN_REPORTED_OBSERVATIONS - 1).describe_own() == {}


@pytest.mark.parametrize(
    "poison",
    [
        (1e9, 1.0, 0.0, 0.0),
        (40.0, 0.0, 0.0, 0.0),
        (40.0, float("nan"), 0.0, 0.0),
        (40.0, 10.0, -1.0, 0.0),
        (40.0, 10.0),
        ("40", "10", "0", "0"),
        None,
    ],
)
def test_invalid_reported_model_is_ignored(poison):
    models = make_models()
    models.apply_report("g2", {"llm": poison, "other": ENGINES[0].coefficients})
    assert models.get("llm") == PRIOR
    assert models.get("other") == ENGINES[0]


def test_single_deviating_gateway_has_little_influence():
    models = make_models(ENGINES[0], 200)
    models.apply_report("g2", make_models(ENGINES[0], 200).describe_own())
    models.apply_report("g3", {"llm": ENGINES[1].coefficients})
    models.fit()
    assert measure_error(models.get("llm"), ENGINES[0]) < 0.1


def test_expired_reports_are_ignored():
    models = make_models(ENGINES[0], 200)
    models.apply_report("g2", {"llm": ENGINES[1].coefficients})
    models.apply_report("g3", {"llm": ENGINES[1].coefficients})
    models.fit()
    assert measure_error(models.get("llm"), ENGINES[1]) < 0.1
    models._clock.advance(int(REPORTED_MODEL_LIFETIME_MS) + 1)
    models.fit()
    assert measure_error(models.get("llm"), ENGINES[0]) < 0.1


def test_call_duration_converges_to_the_median():
    models = make_models()
    assert models.get_call_ms("app") == PRIOR_CALL_MS
    rng = random.Random(6)
    for _ in range(400):
        models.record_call("app", rng.choice((20, 20, 20, 400)))
    assert 15 < models.get_call_ms("app") < 30
