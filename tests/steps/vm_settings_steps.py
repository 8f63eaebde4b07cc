"""Steps about the settings file of the platform."""

from behave import then, when

from guavawing.errors import SettingsInvalidError
from guavawing.platform.settings import parse_settings
from standins.vm_fleet import make_settings
from tests.support import assert_raises


@when('the settings have "{line}"')
def step_settings(context, line):
    text = make_settings("a1", "10.0.0.1", "bergen", "desk", "10.0.0.9:80")
    name = line.split("=")[0]
    lines = [each for each in text.splitlines() if not each.startswith(name)]
    context.settings_text = "\n".join([*lines, line])


@then('they are refused with "{message}"')
def step_refused(context, message):
    with assert_raises(SettingsInvalidError, message):
        parse_settings(context.settings_text)


@then("the drain time is {seconds:g} s")
def step_drain(context, seconds):
    assert parse_settings(context.settings_text).drain_s == seconds
