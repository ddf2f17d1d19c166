# One command each, on a fresh clone: `make demo` and `make test`.
PY = .venv/bin/python

# The environment, made anew where what it is made from has changed.
.venv/ready: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements.txt
	$(PY) -m pip -q install -e '.[dev]'
	touch .venv/ready

.PHONY: demo soak test
demo: .venv/ready  ## a softswitch among stand-ins on loopback: a live table for 20 s, then a traffic report
	$(PY) -m softswitch.cli demo

test: .venv/ready  ## what CI runs: lint, types, import rules, tests; known failures by KNOWN-RED.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache
	$(PY) -m pytest -n auto --dist loadfile $(ARGS)  # workers: half the cores, see tests/conftest.py

SEEDS = 50
soak: .venv/ready  ## long soaks by hand, two at a time: `make soak SEEDS=100`
	$(PY) -m softswitch.cli soak --seed 1 --seeds $(SEEDS) --jobs 2
