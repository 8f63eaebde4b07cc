"""Steps that run the command line."""

import os
import pathlib
import pty
import shlex
import signal
import subprocess
import sys
import tempfile
import threading

import attrs
import click
import orjson
from behave import given, then, when
from click.testing import CliRunner

from guavawing.cli.exits import ExitCode
from guavawing.cli.main import main
from guavawing.config import encode_document
from standins.documents import make_newsroom_document
from standins.platform import Faults

ROOT = pathlib.Path(__file__).parent.parent.parent
START_TIMEOUT_S = 30
COLOUR = "\x1b["


@attrs.frozen
class Result:
    """What a command printed and how it ended."""

    returncode: int
    stdout: str
    stderr: str


@given("the files of an operator")
def step_files(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    document = make_newsroom_document()
    payload = encode_document(document)
    (context.folder / "fleet.json").write_bytes(payload)
    other = attrs.evolve(
        document, defaults=attrs.evolve(document.defaults, spill=False)
    )
    (context.folder / "other.json").write_bytes(encode_document(other))
    broken = orjson.loads(payload)
    broken["defaults"]["max_attempts"] = 0
    broken["exceptions"]["e1"] = {
        "service": "desk",
        "setting": "spill",
        "value": False,
        "reason": "",
        "owner": "ana",
    }
    (context.folder / "broken.json").write_bytes(orjson.dumps(broken))


def split(context, command):
    words = shlex.split(command)
    files = {path.name: str(path) for path in context.folder.iterdir()}
    return [files.get(word, word) for word in words]


def make_env(context):
    return os.environ | {
        "GUAVAWING_PLATFORM": str(context.platform),
        "PYTHONPATH": "src:.",
    }


@when('the operator runs "{command}"')
def step_run(context, command):
    runner = CliRunner(env=make_env(context))
    result = runner.invoke(main, split(context, command))
    if result.exception and not isinstance(result.exception, SystemExit):
        raise result.exception
    context.result = Result(result.exit_code, result.stdout, result.stderr)


@given('the operator has run "{command}"')
def step_has_run(context, command):
    step_run(context, command)
    assert context.result.returncode == 0, context.result


@when('the operator runs on the fleet "{command}"')
def step_run_on_fleet(context, command):
    result = context.run(context.fleet.run_cli(*shlex.split(command)))
    context.result = Result(*result)


@when('the node "{name}" is killed')
def step_kill_node(context, name):
    context.run(context.fleet.nodes[name].node.kill())


@given("the platform recovers after {seconds:g} s")
def step_recover(context, seconds):
    def recover():
        context.standin.faults = Faults()

    timer = threading.Timer(seconds, recover)
    timer.start()
    context.add_cleanup(timer.join)


@when('the operator interrupts "{command}"')
def step_interrupt(context, command):
    proc = subprocess.Popen(
        [sys.executable, "-m", "guavawing", *split(context, command)],
        cwd=ROOT,
        env=make_env(context),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert context.standin.wait_for_request(START_TIMEOUT_S)
        proc.send_signal(signal.SIGINT)
        out, err = proc.communicate(timeout=START_TIMEOUT_S)
    finally:
        proc.kill()
    context.result = Result(proc.returncode, out, err)


@when('the operator runs "{command}" on a terminal')
def step_run_on_terminal(context, command):
    parent, child = pty.openpty()
    env = make_env(context) | {"TERM": "xterm"}
    env.pop("NO_COLOR", None)
    proc = subprocess.run(
        [sys.executable, "-m", "guavawing", *split(context, command)],
        cwd=ROOT,
        env=env,
        stdout=child,
        stderr=child,
        timeout=START_TIMEOUT_S,
    )
    os.close(child)
    text = os.read(parent, 65_536).decode()
    os.close(parent)
    context.result = Result(proc.returncode, text, "")


@when('the shell asks to complete "{words}"')
def step_complete(context, words):
    env = make_env(context) | {
        "_GUAVAWING_COMPLETE": "bash_complete",
        "COMP_WORDS": words,
        "COMP_CWORD": str(len(words.split()) - 1),
    }
    proc = subprocess.run(
        [sys.executable, "-m", "guavawing"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
    )
    context.result = Result(proc.returncode, proc.stdout, proc.stderr)


@then("the exit code is {code:d}")
def step_code(context, code):
    assert context.result.returncode == code, context.result


@then('the exit code is {code:d} and the output says "{text}"')
def step_code_and_output(context, code, text):
    assert context.result.returncode == code, context.result
    assert text in context.result.stdout, context.result


@then('the output says "{text}"')
def step_output(context, text):
    assert text in context.result.stdout, context.result


@then('the output does not say "{text}"')
def step_output_without(context, text):
    assert text not in context.result.stdout, context.result


@then('standard error is one line that says "{text}" and "{next_step}"')
@then('standard error is one line that says "{text}" and ""')
def step_error(context, text, next_step=""):
    lines = context.result.stderr.splitlines()
    assert len(lines) == 1, context.result
    assert text in lines[0], lines
    assert next_step in lines[0], lines


@then("the output has no colour")
def step_plain(context):
    assert COLOUR not in context.result.stdout, context.result


@then("the output has colour")
def step_colour(context):
    assert COLOUR in context.result.stdout, context.result


def list_commands(group, path):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from list_commands(command, [*path, name])
        else:
            yield [*path, name]


@then("the help of every command holds an example that starts with its name")
def step_help(context):
    paths = list(list_commands(main, []))
    assert len(paths) >= 14, paths
    for path in paths:
        result = CliRunner().invoke(main, [*path, "--help"])
        assert result.exit_code == 0, result
        _, _, example = result.output.partition("Example")
        assert f"guavawing {' '.join(path)}" in example, (path, result.output)


@then("the page of exit codes lists every exit code")
def step_page(context):
    page = (ROOT / "docs" / "operators" / "exit-codes.md").read_text()
    rows = [line for line in page.splitlines() if line.startswith("| ")]
    listed = {row.split("|")[1].strip() for row in rows}
    missing = {str(int(code)) for code in ExitCode} - listed
    assert not missing, missing
