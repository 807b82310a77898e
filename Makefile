PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint bench slopes format

$(STAMP): requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) standins/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python scripts/demo.py
	$(BIN)/python scripts/demo_gateway.py

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff format --check --quiet packages platform standins scripts tests
	$(BIN)/flake8 packages platform standins scripts tests
	$(BIN)/lint-imports
	$(BIN)/mypy -p fireflypulley.core

format: $(STAMP)
	$(BIN)/ruff format --quiet packages platform standins scripts tests

bench: $(STAMP)
	$(BIN)/python scripts/bench.py

slopes: $(STAMP)
	$(BIN)/python scripts/slopes.py
