VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo test check format bench slopes fuzz soak lock

setup: $(STAMP)

$(STAMP): requirements/lock.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements/lock.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

lock:
	$(VENV)/bin/pip-compile --quiet --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url \
	    --no-emit-find-links --no-header --extra dev --output-file requirements/lock.txt pyproject.toml

format: setup
	$(VENV)/bin/black --quiet src tests examples
	$(VENV)/bin/ruff check --quiet --fix src tests examples

check: setup
	$(VENV)/bin/black --quiet --check src tests examples
	$(VENV)/bin/ruff check --quiet src tests examples
	$(VENV)/bin/mypy

test: setup
	$(PY) -m pytest

demo: setup
	$(VENV)/bin/currantbarrow demo --examples examples --output build/demo

bench: setup
	$(PY) -m currantbarrow.bench --case "$(CASE)" --output build

slopes: setup
	$(PY) -m currantbarrow.bench.slopes --output build

SECONDS ?= 600
SEED ?= 1

fuzz: setup
	PYTHONHASHSEED=0 $(PY) -m currantbarrow.scenario.fuzz --seconds $(SECONDS) --seed $(SEED)

SEEDS ?= 50
JOBS ?= 2

soak: setup
	cd tests && ../$(PY) -m soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) --keep ../build/soak
