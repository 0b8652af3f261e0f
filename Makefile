# Each target does its own set-up on a fresh machine.
VENV := target/venv
BIN := $(VENV)/bin

.PHONY: test check setup

test: setup
	$(BIN)/python -m pytest

check: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	[ -x $(BIN)/python ] || python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements-dev.txt -e .
	touch $@
