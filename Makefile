PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: run run-lahore test lint fuzz slopes proto shape mutations

$(VENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

run: $(VENV)/ready
	$(BIN)/python -m standins.floor examples/dalisay

run-lahore: $(VENV)/ready
	$(BIN)/python -m standins.floor examples/lahore

test: $(VENV)/ready
	$(BIN)/ruff format --check src tests standins
	$(BIN)/ruff check src tests standins
	$(BIN)/lint-imports
	$(BIN)/python -m tests.run

proto: $(VENV)/ready
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. \
		comfreysill/wire/comfreysill.proto
