# Every target sets up what it needs first; see README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
PROMPT ?=
SEED ?= 1
SCENARIO ?= examples/scenarios/mixed-farois.json
OUT ?= out

.PHONY: demo test dist lint format soak measure measure-overhead measure-control measure-changes measure-decisions regression cluster-demo clean

$(READY): requirements/locked.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements/locked.txt
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/scalebend demo $(if $(PROMPT),--prompt "$(PROMPT)")

cluster-demo: $(READY)
	bash examples/cluster/run.sh $(BIN)/scalebend

lint: $(READY)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

test: lint
	$(BIN)/python -m pytest

# A longer run of the same state machines with fresh seeds, and a pause of a minute.
soak: $(READY)
	SCALEBEND_HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest tests/unit
	SCALEBEND_PAUSE_SECONDS=60 $(BIN)/python -m pytest tests/functional/test_cluster.py

measure: $(READY)
	$(BIN)/scalebend measure $(SCENARIO) --seed $(SEED) --out $(OUT)

measure-overhead: $(READY)
	$(BIN)/scalebend measure-overhead

measure-control: $(READY)
	$(BIN)/scalebend measure-control

# Processor time of decisions by the size of the fleet.
measure-decisions: $(READY)
	$(BIN)/python -m pytest --benchmark-enable --benchmark-only tests/unit/test_decision_cost.py

dist: $(READY)
	mkdir -p dist
	$(BIN)/shiv --quiet -c scalebend -p '/usr/bin/env python3' -o dist/scalebend -r requirements/runtime.txt --no-deps .
	cd /tmp && $(abspath dist/scalebend) --version

# Played days that must not fall; BENCH is the users' bench, SITES the folder of its sites.
REGRESSION := sites/farol-sul.toml sites/anacp-piedra.toml grown/farol-sul-grown.toml \
	grown/anacp-piedra-grown.toml further/exviv-braga.toml \
	further-grown/exviv-braga-grown.toml large/farol-sul-large.toml
regression:
	for site in $(REGRESSION); do $(BENCH) score $(SITES)/$$site --why "regression run" || exit 1; done

# Spread of a change, time without a leader, recovery from disk.
measure-changes: $(READY)
	$(BIN)/scalebend measure-changes

clean:
	rm -rf $(VENV) dist build out
