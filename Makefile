PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint format bench scenarios soak dist

SEED ?= 1
COUNT ?= 1

$(BIN)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

demo: $(BIN)/.installed
	$(BIN)/python -m bench.demo

test: $(BIN)/.installed
	$(BIN)/python -m pytest

lint: $(BIN)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 jacinthhaven scenarios bench soak

format: $(BIN)/.installed
	$(BIN)/ruff format .

bench: $(BIN)/.installed
	$(BIN)/python -m bench.run

scenarios: $(BIN)/.installed
	$(BIN)/python -m scenarios.run

soak: $(BIN)/.installed
	$(BIN)/python -m soak.run $(SEED) --count $(COUNT)

dist: $(BIN)/.installed
	mkdir -p dist
	$(BIN)/shiv -q -c jacinthhaven -o dist/jacinthhaven .
	dist/jacinthhaven --version
