# Each target works from a clean checkout; .venv is created on first use.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
ARGS ?=
# Number of processes that share the test modules.
TEST_PROCESSES ?= 3

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

.PHONY: test lint format clients unit reference demo binary processes clean

test: lint clients unit

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clients: $(VENV)/ready
	tools/clients.sh $(BIN)/python

unit: $(VENV)/ready
	tools/unit.sh $(BIN) $(TEST_PROCESSES)

reference: $(VENV)/ready
	$(BIN)/python -m tools.reference

demo: $(VENV)/ready
	$(BIN)/hickorygate demo $(ARGS)

binary: $(VENV)/ready
	tools/binary/build.sh $(BIN)/python
	tools/binary/check.sh

processes: $(VENV)/ready
	tools/processes.sh $(BIN)

clean:
	rm -rf $(VENV) build dist
