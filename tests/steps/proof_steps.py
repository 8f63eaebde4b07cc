"""Steps that check docs/PROOFS.md and docs/CAPACITY.md."""

import pathlib
import re

from behave import then

from bench import capacity

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"


@then("each scenario that docs/PROOFS.md names exists")
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


@then("docs/CAPACITY.md is unchanged when its table is regenerated")
def step_capacity(context):
    page = capacity.PAGE.read_text()
    assert capacity.replace_table(page) == page


def read_scenarios(path):
    scenario = re.compile(r"^ *Scenario(?: Outline)?: *(.*?) *$", re.MULTILINE)
    return set(scenario.findall(path.read_text()))
