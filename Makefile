PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: run run-lahore test lint fuzz soak slopes proto shape mutations

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
	PYTHONHASHSEED=0 $(BIN)/python -m tests.run

proto: $(VENV)/ready
	cd src && PATH=$$PWD/../$(BIN):$$PATH python -m grpc_tools.protoc -I. --python_out=. \
		--grpclib_python_out=. comfreysill/wire/comfreysill.proto comfreysill/wire/exchange.proto

fuzz: $(VENV)/ready
	PYTHONHASHSEED=0 FUZZ_SEED=$${FUZZ_SEED:-$$(date +%s)} FUZZ_EXAMPLES=$${FUZZ_EXAMPLES:-2000} \
		FUZZ_STEPS=$${FUZZ_STEPS:-80} FLOOR_EXAMPLES=$${FLOOR_EXAMPLES:-5000} \
		INPUT_EXAMPLES=$${INPUT_EXAMPLES:-3000} \
		$(BIN)/python -m tests.run tests.test_fuzz tests.test_platform_floor tests.test_input_fuzz

soak: $(VENV)/ready
	$(BIN)/python -m standins.soak --seeds $${SOAK_SEEDS:-50} --seconds $${SOAK_SECONDS:-20}

mutations: $(VENV)/ready
	$(BIN)/python -m tests.mutations

slopes: $(VENV)/ready
	$(BIN)/python -m standins.slopes
