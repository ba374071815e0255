VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: venv demo test lint format bench regress stats docs

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: venv
	$(PYTHON) -m almondspool.standins.demo

test: venv
	$(PYTHON) -m tools.run_tests

lint: venv
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: venv
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: venv
	$(PYTHON) -m bench

# Needs the users' bench: make regress BENCH=program SITES=folder [SITE=name]
regress: venv
	$(PYTHON) -m tools.regress "$(BENCH)" "$(SITES)" $(SITE)

docs: venv
	$(PYTHON) -m tools.make_tables

stats: venv
	$(PYTHON) -m tools.stats
