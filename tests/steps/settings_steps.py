"""Steps that check the settings of a node."""

import configparser
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then

VALID_SETTINGS = {
    "node": {
        "id": "desk-1",
        "data_centre": "bergen",
        "region": "vestland",
        "caller": "127.0.0.1:7400",
        "mesh": "127.0.0.1:7401",
        "control": "127.0.0.1:7402",
        "admin": "127.0.0.1:7403",
    },
    "target": {"service": "desk", "address": "127.0.0.1:7500"},
    "platform": {"address": "127.0.0.1:7000"},
}


@given('settings in which [{section}] "{key}" is "{value}"')
@given('settings without [{section}] "{key}"')
def step_settings(context, section, key, value=None):
    cfg = configparser.RawConfigParser()
    cfg.read_dict(VALID_SETTINGS)
    if value is None:
        cfg.remove_option(section, key)
    else:
        cfg.read_dict({section: {key: value}})
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "node.ini"
    with context.path.open("w") as file:
        cfg.write(file)


@then(
    "the node exits with code {code:d} and one line on standard error that"
    ' names "{first}", "{second}" and "{third}"'
)
def step_refused(context, code, first, second, third):
    result = subprocess.run(
        [sys.executable, "-m", "guavawing", "node", "--config", context.path],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == code, result
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1, lines
    for part in (str(context.path), first, second, third):
        assert part in lines[0], (part, lines)
