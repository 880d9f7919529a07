PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test soak format matrix mutants slopes bench acceptance clean

$(READY): requirements.txt constraints.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt --no-deps -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/python examples/demo.py

test: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python testing/run.py

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

acceptance: $(READY)
	for run in 1 2 3 4 5 6 7 8 9 10; do $(BIN)/pytest testing/test_acceptance.py || exit 1; done

matrix: $(READY)
	$(BIN)/python testing/matrix.py

mutants: $(READY)
	$(BIN)/python testing/mutants.py

bench: $(READY)
	$(BIN)/python benchmarks/latency.py

soak: $(READY)
	$(BIN)/python testing/soak.py --seed=1 --seeds=50
	$(BIN)/python testing/soak_versions.py --seed=1 --seeds=50
	$(BIN)/python testing/soak_accounts.py --seed=1 --seeds=50
	$(BIN)/python testing/soak_answers.py --seed=1 --seeds=50

slopes: $(READY)
	$(BIN)/python benchmarks/slopes.py

clean:
	rm -rf $(VENV) build src/*.egg-info
