"""Steps that read the pages of proofs and capacity."""

import pathlib
import re

from behave import then

from bench import capacity

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


@then("the page of capacity is the same when it is made anew")
def step_capacity(context):
    page = capacity.PAGE.read_text()
    assert capacity.replace_table(page) == page


def read_scenarios(path):
    scenario = re.compile(r"^ *Scenario(?: Outline)?: *(.*?) *$", re.MULTILINE)
    return set(scenario.findall(path.read_text()))
