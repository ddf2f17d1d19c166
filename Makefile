# One command each, on a fresh clone: `make demo` and `make test`.
PY = .venv/bin/python

.venv/ready: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements.txt
	$(PY) -m pip -q install -e '.[dev]'
	touch .venv/ready

.PHONY: demo test
demo: .venv/ready  ## a softswitch among stand-ins on loopback: a live table for 20 s, then a traffic report
	$(PY) -m willowhitch.cli demo

test:  ## what CI runs
	bash .ci/run
