"""Steps that read docs/PROOFS.md."""

import pathlib
import re

from behave import then

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"


@then("each scenario of the page of proofs exists")
def step_scenarios(context):
    named = re.findall(
        r"`((?:cover|processes)/\w+): ([^`]+)`", PAGE.read_text()
    )
    assert len(named) > 40, len(named)
    missing = [
        (feature, name)
        for feature, name in named
        if name not in read_scenarios(ROOT / "tests" / f"{feature}.feature")
    ]
    assert not missing, missing


def read_scenarios(path):
    lines = path.read_text().splitlines()
    return {
        line.partition(":")[2].strip()
        for line in lines
        if line.strip().startswith(("Scenario:", "Scenario Outline:"))
    }
