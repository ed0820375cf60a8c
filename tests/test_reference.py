"""The tables of docs/reference list the same events, errors, metrics and settings as the code."""

import re
from pathlib import Path
from types import SimpleNamespace

import pytest
from prometheus_client import CollectorRegistry

from hemlockswitch.connection.links import Traffic
from hemlockswitch.core.clock import SystemClock
from hemlockswitch.core.errors import ANSWERS
from hemlockswitch.core.events import Event
from hemlockswitch.process.controller import ControllerMetrics
from hemlockswitch.process.gateway.metrics import GatewayMetrics
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.process.peer_metrics import PeerCollector
from hemlockswitch.version import models, settings
from hemlockswitch.version.gateway_settings import GatewaySettings

REFERENCE = Path(__file__).resolve().parent.parent / "docs" / "reference"
MODELS = ("OperatorFile", "ClientAccount", "AccountLimits", "Model", "Service", "Operation")


def read_rows(page, columns):
    """Return the first `columns` cells of every row of a page's tables."""
    text = (REFERENCE / page).read_text()
    rows = [line.strip("|").split("|") for line in text.splitlines() if line.startswith("|")]
    cells = [[cell.strip().strip("`") for cell in row[:columns]] for row in rows]
    return [row for row in cells if not set(row[0]) <= {"-"}]


def test_events_page_lists_every_event():
    rows = read_rows("events.md", 2)[1:]
    assert rows == [[str(event.number), event.label] for event in Event]


def test_event_numbers_are_unique():
    assert len({event.number for event in Event}) == len(Event)


def test_errors_page_equals_the_answers():
    rows = read_rows("errors.md", 4)[1:]
    wanted = [
        [kind.value, str(answer.status), answer.ran.value, str(answer.retry_after_ms)]
        for kind, answer in ANSWERS.items()
    ]
    assert sorted(rows) == sorted(wanted)


def test_metrics_page_lists_every_metric():
    listed = {row[0] for row in read_rows("metrics.md", 1)}
    peers = CollectorRegistry()
    network = SimpleNamespace(traffic=Traffic(), list_streams=list)
    gossip = SimpleNamespace(repairs=0)
    PeerCollector.register(SimpleNamespace(network=network, gossip=gossip, membership=None), peers)
    clock = SystemClock()
    gateway = GatewayMetrics().build_registry()
    registries = (EntryMetrics().registry, ControllerMetrics(clock).registry, peers, gateway)
    families = {family.name for registry in registries for family in registry.collect()}
    assert families == listed - {"metric"}


@pytest.mark.parametrize("name", [*MODELS, "Limits"])
def test_operator_file_page_lists_every_field(name):
    text = (REFERENCE / "operator-file.md").read_text()
    section = re.split(r"^## ", text, flags=re.MULTILINE)
    page = next(part for part in section if part.startswith(name))
    listed = re.findall(r"^\| `(\w+)` \|", page, flags=re.MULTILINE)
    assert listed == list(getattr(models, name).model_fields)


def list_fields(name):
    """Return the names of the settings of a pydantic or msgspec model."""
    if name == "GatewaySettings":
        return GatewaySettings.__struct_fields__
    return getattr(settings, name).model_fields


@pytest.mark.parametrize(
    "name", ["ProgramSettings", "EntrySettings", "ControllerSettings", "GatewaySettings"]
)
def test_settings_page_lists_every_setting(name):
    text = (REFERENCE / "settings.md").read_text()
    fields = list_fields(name)
    missing = [field for field in fields if f"| `{field}` |" not in text]
    assert not missing
