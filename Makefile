VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed-$(shell sha256sum requirements.lock | cut -c1-12)

.PHONY: env demo test soak bench format lock proto golden

env: $(STAMP)

$(STAMP):
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: env
	PYTHONPATH=src:. $(PY) -m demo

test: env
	VENV=$(VENV) tests/run_checks.sh

SEED ?= 1
SEEDS ?= 1

soak: env
	PYTHONPATH=src:. $(PY) -m soak --seed $(SEED) --count $(SEEDS)

bench: env
	PYTHONPATH=src:. $(PY) -m bench

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lock: env
	$(VENV)/bin/pip-compile --quiet --no-emit-index-url \
	  --no-emit-find-links --no-emit-trusted-host --strip-extras \
	  --allow-unsafe --extra dev -o requirements.lock pyproject.toml

proto: env
	$(PY) -m grpc_tools.protoc -I protos --python_out=src --pyi_out=src \
	  protos/guavawing/proto/*.proto
	PATH=$(abspath $(VENV)/bin):$$PATH $(PY) -m grpc_tools.protoc -I protos \
	  --grpclib_python_out=src protos/guavawing/proto/control.proto

golden: env
	GUAVAWING_RENEW_GOLDEN=1 PYTHONPATH=src:. $(PY) -m behave tests/cover \
	  --tags=@golden --no-capture --format progress
