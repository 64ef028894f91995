# Every target creates the environment from the pinned requirements first.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
DURATION ?= 0
BENCH ?= all
SEED ?= 1
NODES ?= 200
SOAK_DURATION ?= 600
SEEDS ?= 1
FAULT_DURATION ?= 8
CHANGE_NODES ?= 24
CHANGE_DURATION ?= 15

.PHONY: run test bench soak fault-soak change-soak connection-soak format golden

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

run: $(STAMP)
	$(PY) -m merlintrail.lab.deployment --duration=$(DURATION)

test: $(STAMP)
	$(VENV)/bin/ruff format --check merlintrail
	$(VENV)/bin/flake8 merlintrail
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
	$(PY) -m merlintrail.lab.runner

bench: $(STAMP)
	$(PY) -m merlintrail.bench --name=$(BENCH) --seed=$(SEED)

soak: $(STAMP)
	$(PY) -m merlintrail.bench.soak --nodes=$(NODES) --seed=$(SEED) --duration=$(SOAK_DURATION)

format: $(STAMP)
	$(VENV)/bin/ruff format merlintrail

golden: $(STAMP)
	GOLDEN_WRITE=1 $(PY) -m unittest merlintrail.node.tests.test_golden_sessions

fault-soak: $(STAMP)
	$(PY) -m merlintrail.bench.fault_soak --seed=$(SEED) --seeds=$(SEEDS) --duration=$(FAULT_DURATION)

change-soak: $(STAMP)
	$(PY) -m merlintrail.bench.change_soak --seed=$(SEED) --seeds=$(SEEDS) --nodes=$(CHANGE_NODES) --duration=$(CHANGE_DURATION)

connection-soak: $(STAMP)
	$(PY) -m merlintrail.bench.connection_soak --seed=$(SEED) --seeds=$(SEEDS) --nodes=$(CHANGE_NODES) --duration=$(CHANGE_DURATION)
