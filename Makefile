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
	$(BIN)/python scripts/check_types.py
	$(BIN)/python scripts/generate_reference.py --check

format: environment
	$(BIN)/ruff check --fix --quiet marjorambridge tests benchmarks scripts || true
	$(BIN)/black --quiet marjorambridge tests benchmarks scripts

test: environment lint
	$(BIN)/python scripts/run_tests.py

demo: environment
	$(BIN)/python scripts/demo.py

# The generator is only needed after a change of the messages; its output is committed.
wire: environment
	$(BIN)/python scripts/generate_idl.py
	for idl in marjorambridge/wire/idl/*.thrift; do \
		thrift -out marjorambridge/wire/gen --gen py:slots,enum,package_prefix=marjorambridge.wire.gen. $$idl; \
	done
	sed -i 's/\breserved_//g' marjorambridge/wire/gen/*/ttypes.py
	rm -f marjorambridge/wire/gen/__init__.py && touch marjorambridge/wire/gen/__init__.py
