PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: environment test demo format lint wire

environment: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

lint: environment
	$(BIN)/black --check --quiet marjorambridge tests benchmarks scripts
	$(BIN)/ruff check --quiet marjorambridge tests benchmarks scripts
	$(BIN)/lint-imports

format: environment
	$(BIN)/ruff check --fix --quiet marjorambridge tests benchmarks scripts || true
	$(BIN)/black --quiet marjorambridge tests benchmarks scripts

test: environment lint
	$(BIN)/python scripts/run_tests.py

demo: environment
	$(BIN)/python scripts/demo.py

# The generator is only needed after a change of the IDL; its output is committed.
wire:
	for idl in marjorambridge/wire/idl/*.thrift; do \
		thrift -out marjorambridge/wire/gen --gen py:slots,enum,package_prefix=marjorambridge.wire.gen. $$idl; \
	done
