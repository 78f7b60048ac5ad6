VENV ?= .venv
PYTHON ?= python3
PY = PYTHONPATH=$(CURDIR) $(VENV)/bin/python

.PHONY: demo test lint features bench format thrift docs

demo: $(VENV)/.ready
	$(PY) -m oleanderknot demo

test: lint features

lint: $(VENV)/.ready
	$(VENV)/bin/ruff format --quiet --check .
	$(VENV)/bin/ruff check --quiet .
	$(VENV)/bin/flake8 oleanderknot features bench docs soak
	PYTHONPATH=$(CURDIR) $(VENV)/bin/lint-imports --no-cache
	$(PY) -m docs.pages --check

features: $(VENV)/.ready
	$(PY) -m features.run

bench: $(VENV)/.ready
	$(PY) -m bench

# Pages generated from code: metrics and settings.
docs: $(VENV)/.ready
	$(PY) -m docs.pages

format: $(VENV)/.ready
	$(VENV)/bin/ruff check --quiet --fix .
	$(VENV)/bin/ruff format .

# Needs the thrift compiler; the generated code is committed.
thrift:
	mkdir -p oleanderknot/wire/gen
	thrift --gen py:slots -out oleanderknot/wire/gen \
		oleanderknot/wire/peer.thrift

$(VENV)/.ready: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
		-r requirements.txt
	touch $@
