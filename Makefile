# Targets set up a virtual environment in .venv from PyPI on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup check demo bench format

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

setup: $(STAMP)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest -n 4

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python -m demo

bench: $(STAMP)
	$(BIN)/python -m benchmarks
	$(BIN)/python -m benchmarks.cost
	$(BIN)/python -m benchmarks.entry_overhead
	$(BIN)/python -m benchmarks.control_cost
