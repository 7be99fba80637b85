# Two commands do everything: `make demo` and `make test`.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo stack test soak format clean
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 60

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	@touch $@

demo: $(STAMP)
	$(PY) -m standins.demo

stack: $(STAMP)
	@$(PY) -m standins.stack

test: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m tests.run

soak: $(STAMP)
	$(PY) -W ignore -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

format: $(STAMP)
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

clean:
	rm -rf $(VENV) reports
