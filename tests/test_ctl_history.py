"""`hemlock-ctl history`: options that are wrong."""

import pytest

from hemlockswitch.programs.ctl_files import ExitCode
from tests.test_ctl_gateways import run


# Guards against a stack trace in place of an error message.
@pytest.mark.parametrize("count", ["x", "0", "-3", "1.5"])
def test_a_count_that_is_no_number_is_reported(count):
    code, output, errors = run("history", f"--platform 127.0.0.1:1 --count={count}")
    assert code == ExitCode.MISTAKES
    assert f'--count must be a whole number of at least 1, not "{count}"' in output + errors
