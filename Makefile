# Targets for developers; `make demo` and `make test` need Python 3.11 only.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
RUNTIME := --constraint requirements.lock

.PHONY: setup demo test lint format types generated behave bench slopes event-cost start-cost gateway-slopes experiment soak scheduled-soak chaos membership generate reference binary clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: setup
	$(BIN)/python -m demo

test: lint types generated behave

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

types: setup
	$(BIN)/mypy

generate: setup
	rm -rf build/generated && mkdir -p build/generated
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I proto \
	  --py_out=build/generated --connectrpc_out=build/generated \
	  proto/coppercleat/v1/*.proto
	cp build/generated/coppercleat/v1/*.py src/coppercleat/v1/

binary: setup
	mkdir -p dist
	$(BIN)/shiv --console-script coppercleat --output-file dist/coppercleat \
	  --python '/usr/bin/env python3' . $(RUNTIME)

reference: setup
	$(BIN)/python -m tools.reference

generated: generate reference
	git diff --exit-code --stat -- src docs/operations

behave: setup
	$(BIN)/python -m tools.behave_shards

bench: setup
	$(BIN)/python -m bench.online

slopes: setup
	$(BIN)/python -m bench.slopes

event-cost: setup
	$(BIN)/python -m bench.event_cost

start-cost: setup
	$(BIN)/python -m bench.start_cost

gateway-slopes: setup
	$(BIN)/python -m bench.gateway_slopes

FILE ?= bench/experiments/burst-beside-batch.yaml
experiment: setup
	$(BIN)/python -m bench.experiment $(FILE)

membership: setup
	$(BIN)/python -m bench.membership

soak: setup
	$(BIN)/python -m bench.soak

scheduled-soak: setup
	$(BIN)/python -m bench.scheduled_soak

chaos: setup
	$(BIN)/python -m bench.chaos

clean:
	rm -rf $(VENV) build dist
