# Every target sets up what it needs on a machine with Python 3.11 and pip.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := core router ctl standins
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
FOLDERS := $(foreach p,$(PACKAGES),packages/corianderlb-$(p)) platform
SOURCES := $(foreach f,$(FOLDERS),$(CURDIR)/$(f)/src) $(CURDIR)/platform/standins
export PYTHONPATH := $(subst $(SPACE),:,$(SOURCES)):$(CURDIR)/tests
export PYTHONDONTWRITEBYTECODE := 1
PROMPT ?=

.PHONY: setup demo platform-demo soak test test-fast lint format bench slopes

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/pip || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt ruff hypothesis \
		$(foreach f,$(FOLDERS),-e ./$(f))
	touch $@

demo: setup
	$(BIN)/python -m corianderlb_standins demo $(if $(PROMPT),--prompt-file "$(PROMPT)")

# The adapter's whole path against stand-ins of the platform, test by test.
platform-demo: setup
	cd platform/tests && $(CURDIR)/$(BIN)/python -m unittest -v test_platform_processes

# Real processes under random faults, by seed; seeds that break a promise keep their logs.
SEEDS ?= 1-3
PLANS ?= mixed roll cut version stop
JOBS ?= 2
SOAK_LOGS ?= target/soak
soak: setup
	$(BIN)/python -W ignore platform/tests/soak.py --seeds $(SEEDS) --plans $(PLANS) \
		--jobs $(JOBS) --keep $(SOAK_LOGS)

test: setup
	$(BIN)/python tests/run_all.py

# The tests of the packages alone, without separate processes.
test-fast: setup
	$(BIN)/python tests/run_all.py --packages

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff check --fix-only .
	$(BIN)/ruff format .

bench: setup
	$(BIN)/python -m corianderlb_standins bench

slopes: setup
	$(BIN)/python -m corianderlb_standins slopes
