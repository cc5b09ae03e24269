# Every target first creates the virtual environment if it is missing, and installs constraints.txt
# if it has changed. VENV may name an existing environment.
VENV ?= .venv
PYTHON ?= python3
LOCK := $(shell sha256sum constraints.txt | cut -c1-16)
READY := $(VENV)/.ready-$(LOCK)
PY := $(VENV)/bin/python

.PHONY: env capacity test demo bench format check spec fuzz soak install clean

$(READY):
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement constraints.txt
	touch $(READY)

env: $(READY)

capacity: $(READY)
	$(PY) -m bench.capacity

test: $(READY)
	$(PY) -m pytest

demo: $(READY)
	$(PY) -m demo

bench: $(READY)
	$(PY) -m bench

spec: $(READY)
	$(PY) -m spec

fuzz: $(READY)
	HYPOTHESIS_PROFILE=fuzz $(PY) -m pytest tests/test_raft.py

format: $(READY)
	$(PY) -m black --quiet .
	$(PY) -m ruff check --fix --quiet .

check: $(READY)
	$(PY) -m black --check --quiet .
	$(PY) -m ruff check --quiet .

install: $(READY)
	$(PY) -m pip install --quiet --no-deps --editable .

soak: $(READY)
	$(PY) -m soak many --first $(or $(FIRST),1) --count $(or $(COUNT),50)

# Removes what the targets above make, and never journal/, data folders or an environment that VENV
# names.
clean:
	rm -rf .venv target build .pytest_cache .ruff_cache .hypothesis *.egg-info
	find . -path ./.git -prune -o -path ./journal -prune -o -path ./var -prune \
		-o -type d -name __pycache__ -prune -exec rm -rf {} +
