"""The example operator files are valid and have the required numbers of zones and copies."""

from pathlib import Path

import pytest

from hemlockswitch.version.checks import parse_file

EXAMPLES = Path(__file__).resolve().parent.parent / "docs" / "examples"
ZONES = 4
MODEL_COPIES = 6
SERVICE_COPIES = 4
ACCOUNTS = 5


@pytest.mark.parametrize("name", ["qafza-bookings", "driftwood-ledger"])
def test_example_is_valid_and_has_the_required_size(name):
    file = parse_file((EXAMPLES / f"{name}.json").read_text()).file
    assert len(file.zones) == ZONES
    assert len(file.client_accounts) == ACCOUNTS
    assert [model.licensed_copies for model in file.models] == [MODEL_COPIES]
    assert [service.licensed_copies for service in file.services] == [SERVICE_COPIES]
    assert any(not operation.idempotent for operation in file.services[0].operations)
