"""Tests of the script that runs all tests."""

from tools import run_tests

REPORT = """<testsuite>
<testcase classname="storm.Faults" name="one" />
<testcase classname="storm.Faults" name="two">
<failure type="AssertionError" message="({'whole': 3}, {'unknown_request': 1})">the steps</failure>
</testcase>
</testsuite>"""


def test_report_of_a_failed_test_keeps_its_message(tmp_path):
    """Guards against a run whose last lines name a failed test without the check that failed."""
    path = tmp_path / "report.xml"
    path.write_text(REPORT)
    totals = run_tests.Totals()
    run_tests.read_report(path, totals)
    assert totals.passed == 1
    assert totals.messages == {"storm.Faults: two": "({'whole': 3}, {'unknown_request': 1})"}
