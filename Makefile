# Targets set up what they need; a fresh machine needs python3.11 and make only.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*)
FAULT_SOAK_PATH := ../platform
SEED ?= 1
SEEDS ?= 5
MINUTES ?= 1
FATAL ?=
RESTORES ?=
LIMITS ?=
STOPS ?=
VARIED ?=
ENDLESS ?=
LOST ?=
FOREIGN ?=
# Half of the cores, four at most: tests of many sidecars take turns on one core.
WORKERS ?= $(shell n=$$(( $$(nproc) / 2 )); echo $$(( n > 4 ? 4 : n < 1 ? 1 : n )))

.PHONY: setup test lint demo bench simulate slopes soak fault-soak generate clean

setup: $(VENV)/.done

$(VENV)/.done: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(PACKAGES:%=-e %)
	touch $@

test: setup
	$(BIN)/python -m pytest --numprocesses $(WORKERS) --dist loadfile

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: setup
	$(BIN)/python -m sassafraswinch_standins.demo

bench: setup
	$(BIN)/python -m sassafraswinch_standins.bench latency
	$(BIN)/python -m sassafraswinch_standins.bench overload --seeds $(SEEDS)

simulate: setup
	$(BIN)/python -m sassafraswinch_standins.simulator --seeds $(SEEDS)

slopes: setup
	$(BIN)/python -m sassafraswinch_standins.slopes

soak: setup
	$(BIN)/python -m sassafraswinch_standins.soak --seed $(SEED) --minutes $(MINUTES)

# Sidecars as processes, with faults from outside; a failed seed is printed. With
# FATAL=--fatal a request that crashes the servers that run it is sent as well; with
# RESTORES=--restores the store comes back from older copies as well; with LIMITS=--limits
# servers name limits and leave in their responses as well. With STOPS=--only-stops
# processes are only stopped, under many callers that open new connections. With
# VARIED=--varied lengths and run times vary over orders of magnitude, within 200 MB. With
# ENDLESS=--endless servers send answers without end as well, within 200 MB; with
# LOST=--lost-service all servers of a service are lost, and its route is moved. With
# FOREIGN=--foreign another writer leaves odd entries among those of the servers.
fault-soak: setup
	cd tests && PYTHONPATH=$(FAULT_SOAK_PATH) ../$(BIN)/python -m fault_soak.play \
		--first $(SEED) --seeds $(SEEDS) $(FATAL) $(RESTORES) $(LIMITS) $(STOPS) $(VARIED) \
		$(ENDLESS) $(LOST) $(FOREIGN)

# Needs the thrift compiler; its output is committed, so the build doesn't.
generate:
	thrift --gen py:slots \
		-out packages/sassafraswinch-node/sassafraswinch_node \
		packages/sassafraswinch-node/link.thrift
	thrift --gen py:slots \
		-out packages/sassafraswinch-sidecar/sassafraswinch_sidecar \
		packages/sassafraswinch-sidecar/relay.thrift

clean:
	rm -rf $(VENV) out .pytest_cache .ruff_cache .hypothesis
