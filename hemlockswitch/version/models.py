"""The operator file: pydantic models of a complete configuration."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.version.machine_class import MachineClass

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
KeyHash = Annotated[str, Field(pattern=r"^sha256:[0-9a-f]{64}$")]


class _Checked(BaseModel):
    """Base of the models: unknown fields are rejected, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class AccountLimits(_Checked):
    """Limits of one client account over the whole system."""

    requests_per_second: float = Field(gt=0)
    tokens_per_second: float = Field(gt=0)
    concurrent_requests: int = Field(gt=0)


class ClientAccount(_Checked):
    """A caller of the system, identified by the SHA-256 of its key."""

    name: Name
    key_hash: KeyHash
    limits: AccountLimits
    priority: int = Field(default=1, ge=0, le=9)
    uses: tuple[Name, ...] = ()
    """Names of the models and services that the account may call; empty for all."""

    def may_use(self, name: str) -> bool:
        """Return whether the account may call the model or service `name`."""
        return not self.uses or name in self.uses


class Model(_Checked):
    """A language model, run by backend servers in licensed copies."""

    name: Name
    licensed_copies: int = Field(gt=0)
    min_copies: int = Field(default=1, ge=0)
    first_token_target_ms: int = Field(default=830, gt=0)
    token_gap_target_ms: int = Field(default=40, gt=0)
    max_tokens: int = Field(default=1024, gt=0)
    context_tokens: int = Field(default=8192, gt=0)
    slots_per_copy: int = Field(default=16, gt=0)
    checks_fencing: bool = True
    machine_classes: tuple[MachineClass, ...] = (
        MachineClass.RECLAIMABLE,
        MachineClass.ON_DEMAND,
    )


class Operation(_Checked):
    """An operation of a plain service: its path prefix and whether calls may be repeated."""

    path: str = Field(pattern=r"^/[A-Za-z0-9_./-]*$")
    methods: tuple[str, ...] = ("GET", "POST", "PUT", "DELETE")
    idempotent: bool = False


class Service(_Checked):
    """A plain service, which does not run a model engine."""

    name: Name
    operations: tuple[Operation, ...] = Field(min_length=1)
    timeout_ms: int = Field(default=10_000, gt=0)
    licensed_copies: int = Field(default=4, gt=0)
    min_copies: int = Field(default=1, ge=0)
    concurrent_calls_per_copy: int = Field(default=32, gt=0)


class Limits(_Checked):
    """Limits that protect the entry daemons from overload."""

    body_bytes: int = Field(default=1_048_576, gt=0)
    queue_length: int = Field(default=256, gt=0)
    retry_ratio: float = Field(default=0.1, ge=0, le=1)
    default_deadline_ms: int = Field(default=60_000, gt=0)
    claim_retention_ms: int = Field(default=3_600_000, gt=0)


class OperatorFile(_Checked):
    """A complete configuration; it is applied atomically."""

    zones: tuple[Name, ...] = Field(min_length=1)
    client_accounts: tuple[ClientAccount, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    draining: tuple[Name, ...] = ()
    limits: Limits = Limits()
