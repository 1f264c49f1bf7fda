# Every target installs what it needs: a fresh clone, Python 3.11 and a package index are sufficient.
VENV ?= .venv-dev
PY := $(VENV)/bin/python
READY := $(VENV)/.ready

.PHONY: test check proto badday bench scale clean

$(READY): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $(READY)

test: $(READY)
	$(PY) -m pytest -q

check: $(READY)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check -q .
	$(PY) -m mypy
	$(VENV)/bin/lint-imports

badday: $(READY)
	$(PY) -m sprucepost badday

bench: $(READY)
	$(PY) -m benchmarks.stream_cpu
	$(PY) -m benchmarks.whole_path
	$(PY) -m benchmarks.idle

scale: $(READY)
	$(PY) -m sprucepost scale --quick

proto: $(READY)
	$(PY) tools/proto.py

clean:
	rm -rf $(VENV)
