"""Settings of `hemlock-load`, and the arrivals that are generated from its seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.standin.answers import join_prompt

WORDS = ["slot", "hall", "party", "guide", "lunch", "waiver", "school", "linen", "panel", "lender"]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Account(_Settings):
    """A client account that sends requests, and its share of them."""

    name: str
    key: str
    weight: float = Field(default=1, gt=0)


class ChatMix(_Settings):
    """A kind of model request.

    Parameters
    ==========

    prompt_words, max_tokens : minimum and maximum of a uniform distribution.
    prefix_words, prefixes : a prompt begins with one of `prefixes` texts of `prefix_words` words.
    """

    kind: Literal["chat"] = "chat"
    weight: float = Field(default=1, gt=0)
    model: str = "assistant-llm"
    prompt_words: tuple[int, int] = (20, 200)
    max_tokens: tuple[int, int] = (20, 120)
    prefix_words: int = 0
    prefixes: int = 1
    stream: bool = True
    priority: int | None = None


class CallMix(_Settings):
    """A kind of plain-service call.

    Parameters
    ==========

    keyed : send an idempotency key, which permits retries.
    repeatable : permit retries without an idempotency key.
    """

    kind: Literal["call"] = "call"
    weight: float = Field(default=1, gt=0)
    service: str = "booking-app"
    method: str = "POST"
    path: str = "/confirmations"
    keyed: bool = True
    repeatable: bool = False


class LoadSettings(_Settings):
    """Settings file of `hemlock-load`.

    Parameters
    ==========

    entries : addresses on which entry daemons serve callers; each try uses one of them, as
        behind a load balancer.
    requests_per_s : mean rate of the open-loop arrivals.
    patience_ms : time after which a caller gives up.
    give_up_share : fraction of the chat requests whose caller disconnects within the first half
        of the tokens.
    """

    entries: tuple[str, ...] = Field(min_length=1)
    seed: int = 1
    duration_ms: float = Field(default=10_000, gt=0)
    requests_per_s: float = Field(default=10, gt=0)
    accounts: tuple[Account, ...] = Field(min_length=1)
    mix: tuple[ChatMix | CallMix, ...] = (ChatMix(),)
    patience_ms: float = Field(default=30_000, gt=0)
    give_up_share: float = Field(default=0, ge=0, le=1)


@dataclass(frozen=True)
class Arrival:
    """A request of the plan.

    Parameters
    ==========

    number : position in the plan.
    at_ms : time at which the request is due, counted from the start of the run.
    text : content of the single message, or text in the body of a call.
    give_up_after : number of tokens after which the caller disconnects; 0 means never.
    entry_draws : random number that determines the entry for each try.
    """

    number: int
    at_ms: float
    account: Account
    mix: ChatMix | CallMix
    text: str
    max_tokens: int
    give_up_after: int
    entry_draws: int

    @property
    def prompt(self) -> str:
        """The prompt text as engines receive it."""
        return join_prompt([{"role": "user", "content": self.text}])


def plan_arrivals(settings: LoadSettings) -> Iterator[Arrival]:
    """Yield the arrivals of a run in order; equal settings yield equal arrivals.

    Examples
    ========

    >>> account = Account(name="a", key="k")
    >>> settings = LoadSettings(entries=("127.0.0.1:1",), accounts=(account,), duration_ms=1_000)
    >>> list(plan_arrivals(settings)) == list(plan_arrivals(settings))
    True
    """
    rng = random.Random(settings.seed)
    at_ms = 0.0
    number = 0
    while True:
        at_ms += rng.expovariate(settings.requests_per_s) * MS_PER_SECOND
        if at_ms >= settings.duration_ms:
            return
        yield _plan_one(settings, rng, number, at_ms)
        number += 1


def _plan_one(settings: LoadSettings, rng: random.Random, number: int, at_ms: float) -> Arrival:
    account = rng.choices(settings.accounts, [item.weight for item in settings.accounts])[0]
    mix = rng.choices(settings.mix, [item.weight for item in settings.mix])[0]
    text, max_tokens, give_up_after = f"call {number}", 0, 0
    if isinstance(mix, ChatMix):
        text = _draw_text(mix, rng, number)
        max_tokens = rng.randint(*mix.max_tokens)
        if rng.random() < settings.give_up_share:
            give_up_after = rng.randint(1, max(1, max_tokens // 2))
    return Arrival(
        number, at_ms, account, mix, text, max_tokens, give_up_after, rng.getrandbits(32)
    )


def _draw_text(mix: ChatMix, rng: random.Random, number: int) -> str:
    prefix = rng.randrange(mix.prefixes)
    prefix_text = [f"{WORDS[index % len(WORDS)]}-{prefix}" for index in range(mix.prefix_words)]
    count = max(rng.randint(*mix.prompt_words) - mix.prefix_words, 1)
    return " ".join([*prefix_text, f"request-{number}", *rng.choices(WORDS, k=count - 1)])
