VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: venv test check demo measure capacity clean

venv: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --require-hashes -r requirements.lock
	$(PYTHON) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

check: venv
	$(VENV)/bin/black -q --check hemlockswitch features tests tools
	$(VENV)/bin/ruff check -q hemlockswitch features tests tools
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

test: check
	$(PYTHON) tools/run_tests.py

demo: venv
	$(PYTHON) tools/demo.py

measure: venv
	$(PYTHON) tools/measure.py

capacity: venv
	$(PYTHON) tools/capacity.py

clean:
	rm -rf $(VENV) reports
