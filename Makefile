# `make demo` installs everything and runs the main job; `make test` installs
# everything and runs every check. VENV may name an existing environment.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed-$(shell cksum < requirements-dev.txt | cut -d' ' -f1)
SOURCES := lagooncrank standins bench demo platform soak conftest.py

.PHONY: install format lint types tests test demo bench

$(STAMP): requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements-dev.txt
	touch $@

install: $(STAMP)
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .

format: $(STAMP)
	$(PYTHON) -m ruff format $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

lint: $(STAMP)
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)

types: $(STAMP)
	$(PYTHON) -m mypy

tests: $(STAMP)
	$(PYTHON) -m pytest

test: lint types tests

demo: $(STAMP)
	$(PYTHON) -m demo
