#!/usr/bin/env bash
# Every check that CI runs; ends with the plain count of scenarios.
set -u
cd "$(dirname "$0")/.."
VENV=${VENV:-.venv}
export PYTHONPATH=src:.
failed=0
check() {
  echo "== $*"
  "$@" || failed=1
}
check "$VENV/bin/ruff" format --check --quiet .
check "$VENV/bin/ruff" check --quiet .
check "$VENV/bin/mypy"
check "$VENV/bin/lint-imports"
check "$VENV/bin/python" -m tests.run_features "$@"
exit $failed
