# Each target does its own set-up on a fresh machine.
VENV := target/venv
BIN := $(VENV)/bin

.PHONY: local test check setup

# A cluster on this machine, and an example of each kind of work run to its end.
local: setup
	$(BIN)/umberward local --example --speed 2 --for 100

test: setup
	$(BIN)/python -m pytest

check: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-tools.txt requirements-dev.txt pyproject.toml
	[ -x $(BIN)/python ] || python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements-dev.txt -e .
	touch $@
