"""The fitted model of each service: the speed of its engines, and how long a call takes.

Each gateway fits a model to its own send attempts and reports it to the others. The model in force is
the coefficient-wise median of the reported models: a gateway that has just started has it with the
first report, and a single wrong model has no effect.
"""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.request.engine_model import (
    MIN_REPORTED_OBSERVATIONS,
    PRIOR,
    EngineModel,
    EngineWork,
    ModelFitter,
)
from hemlockswitch.request.placement import PRIOR_CALL_MS

FIT_INTERVAL_MS = 2_000.0
"""Time between two fits; one takes some 2 ms of processor time for each service with engines."""
REPORTED_MODEL_LIFETIME_MS = 10_000.0
"""How long another gateway's reported model is used."""
CALL_TIME_STEP = 0.05
"""Relative step by which each call moves the usual call time up or down, so that it settles at the
median."""

ModelCoefficients = tuple[float, float, float, float]
"""The coefficients of a model, in the order of `EngineModel.coefficients`."""


@dataclass(frozen=True)
class _ReportedModels:
    received_ms: float
    models: Mapping[str, EngineModel]


class ServiceModels:
    """The models of all services.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._fitters: dict[str, ModelFitter] = {}
        self._reported: dict[str, _ReportedModels] = {}
        self._in_force: dict[str, EngineModel] = {}
        self._call_ms: dict[str, float] = {}

    def get(self, service: str) -> EngineModel:
        """Return the model in force of a service's engines."""
        return self._in_force.get(service, PRIOR)

    def get_call_ms(self, service: str) -> float:
        """Return the usual duration of a call of a plain service."""
        return self._call_ms.get(service, PRIOR_CALL_MS)

    def record_first_event(self, service: str, work: EngineWork, took_ms: float) -> None:
        """Record the time from a send attempt to the first event of an engine's answer."""
        self._fitters.setdefault(service, ModelFitter()).note(self._clock.now_ms(), work, took_ms)

    def record_call(self, service: str, took_ms: float) -> None:
        """Record the duration of a call of a plain service."""
        usual_ms = self.get_call_ms(service)
        self._call_ms[service] = usual_ms * (
            1 + CALL_TIME_STEP if took_ms > usual_ms else 1 - CALL_TIME_STEP
        )

    def describe_own(self) -> dict[str, ModelCoefficients]:
        """Return the models fitted to enough own send attempts, to be reported to other gateways."""
        return {
            service: fitter.model.coefficients
            for service, fitter in self._fitters.items()
            if fitter.count >= MIN_REPORTED_OBSERVATIONS
        }

    def apply_report(self, gateway: str, reported: Mapping[str, ModelCoefficients]) -> None:
        """Apply another gateway's models, except those with coefficients that no engine can have."""
        models: dict[str, EngineModel] = {}
        for service, coefficients in reported.items():
            try:
                models[service] = EngineModel(*coefficients)
            except (TypeError, ValueError) as error:
                log_event(
                    Event.MODEL_REFUSED,
                    "warning",
                    gateway=gateway,
                    service=service,
                    detail=str(error),
                )
        self._reported[gateway] = _ReportedModels(self._clock.now_ms(), models)
        for service in models:
            if service not in self._in_force:
                self._in_force[service] = self._combine(service)

    def fit(self) -> None:
        """Fit the own models again, and combine them with the reported ones."""
        now_ms = self._clock.now_ms()
        for service, fitter in self._fitters.items():
            fitter.fit(now_ms, self.get(service))
        for service in self._fitters.keys() | self._in_force.keys():
            self._in_force[service] = self._combine(service)

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the models in force, for the status page."""
        return {
            service: {
                "base_ms": round(model.base_ms, 1),
                "tokens_per_ms": round(model.tokens_per_ms, 1),
                "ms_per_running": round(model.ms_per_running, 2),
                "ms_per_1m_pairs": round(model.ms_per_1m_pairs, 3),
                "own_sends": self._fitters[service].count if service in self._fitters else 0,
            }
            for service, model in sorted(self._in_force.items())
        }

    def _combine(self, service: str) -> EngineModel:
        """Return the median of the recently reported models and the own model."""
        oldest_ms = self._clock.now_ms() - REPORTED_MODEL_LIFETIME_MS
        models = [
            report.models[service]
            for report in self._reported.values()
            if report.received_ms >= oldest_ms and service in report.models
        ]
        fitter = self._fitters.get(service)
        if fitter is not None and (fitter.count >= MIN_REPORTED_OBSERVATIONS or not models):
            models.append(fitter.model)
        if not models:
            return self.get(service)
        columns = zip(*(model.coefficients for model in models), strict=True)
        return EngineModel.from_coefficients([statistics.median(column) for column in columns])
