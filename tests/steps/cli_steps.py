"""Steps that run the command line interface."""

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
import orjson
from behave import given, then, when
from click.testing import CliRunner

from guavawing.cli.main import main
from guavawing.config import encode_document
from standins.documents import make_newsroom_document
from standins.platform import Faults
from tests.steps.page_steps import list_commands

ROOT = pathlib.Path(__file__).parent.parent.parent
TIMEOUT_S = 30
COLOUR = "\x1b["
BAD_EXCEPTION = {
    "service": "desk",
    "setting": "spill",
    "value": False,
    "reason": "",
    "owner": "ana",
}


@attrs.frozen
class Result:
    """Exit code and output of a command."""

    code: int
    stdout: str
    stderr: str = ""


@given("the files of an operator")
def step_files(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    trees = {
        name: orjson.loads(encode_document(make_newsroom_document()))
        for name in ("fleet", "other", "broken", "doubtful")
    }
    trees["other"]["defaults"]["spill"] = False
    trees["broken"]["defaults"]["max_attempts"] = 0
    trees["broken"]["exceptions"]["e1"] = BAD_EXCEPTION
    for part in ("limit_classes", "capacity"):
        trees["doubtful"][part]["unused"] = trees["doubtful"][part]["small"]
    for name, tree in trees.items():
        (context.folder / f"{name}.json").write_bytes(orjson.dumps(tree))


def resolve_files(context, command):
    words = shlex.split(command)
    files = {path.name: str(path) for path in context.folder.iterdir()}
    return [files.get(word, word) for word in words]


def start(context, command="", env=(), **streams):
    """Starts the command line in a separate process."""
    return subprocess.Popen(
        [sys.executable, "-m", "guavawing", *resolve_files(context, command)],
        cwd=ROOT,
        env=os.environ
        | {"GUAVAWING_PLATFORM": str(context.platform), "TERM": "xterm"}
        | dict(env),
        text=True,
        preexec_fn=restore_interrupt_handler,
        **{"stdout": subprocess.PIPE, "stderr": subprocess.PIPE} | streams,
    )


def restore_interrupt_handler():
    # A shell's background job ignores SIGINT, and its children inherit that.
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def invoke(context, words, **env):
    """Runs the command line in the process of the test."""
    result = CliRunner(env=env).invoke(main, words)
    if result.exception and not isinstance(result.exception, SystemExit):
        raise result.exception
    context.result = Result(result.exit_code, result.stdout, result.stderr)


@when('the operator runs "{command}"')
def step_run(context, command):
    words = resolve_files(context, command)
    invoke(context, words, GUAVAWING_PLATFORM=str(context.platform))


@given('the operator has run "{command}"')
def step_has_run(context, command):
    step_run(context, command)
    step_code(context, 0)


@then("these commands succeed, one after another")
def step_run_all(context):
    for row in context.table:
        step_run(context, row["command"])
        step_code_and_output(context, 0, row["output contains"])


@when('the operator runs on the fleet "{command}"')
def step_run_on_fleet(context, command):
    admin = next(iter(context.fleet.nodes.values())).admin
    words = shlex.split(command.replace("ADMIN", admin))
    result = context.run(context.fleet.run_cli(*words))
    context.result = Result(*result)


@given("the platform recovers after {seconds:g} s")
def step_recover(context, seconds):
    def recover():
        context.standin.faults = Faults()

    timer = threading.Timer(seconds, recover)
    timer.start()
    context.add_cleanup(timer.join)


@when('the operator interrupts "{command}"')
def step_interrupt(context, command):
    with start(context, command) as proc:
        assert context.standin.wait_for_request(TIMEOUT_S)
        proc.send_signal(signal.SIGINT)
        streams = proc.communicate(timeout=TIMEOUT_S)
    context.result = Result(proc.returncode, *streams)


@when('the operator runs "{command}" on a terminal')
def step_run_on_terminal(context, command):
    parent, child = pty.openpty()
    with start(context, command, stdout=child, stderr=child) as proc:
        code = proc.wait(TIMEOUT_S)
    os.close(child)
    context.result = Result(code, os.read(parent, 65_536).decode())
    os.close(parent)


@when('the shell requests completions of "{words}"')
def step_complete(context, words):
    env = {
        "_GUAVAWING_COMPLETE": "bash_complete",
        "COMP_WORDS": words,
        "COMP_CWORD": str(len(words.split()) - 1),
    }
    with start(context, env=env) as proc:
        streams = proc.communicate(timeout=TIMEOUT_S)
    context.result = Result(proc.returncode, *streams)


@then("the exit code is {code:d}")
def step_code(context, code):
    assert context.result.code == code, context.result


@then('the exit code is {code:d} and the output contains "{text}"')
def step_code_and_output(context, code, text):
    step_code(context, code)
    step_output(context, text)


@then('the output contains "{text}"')
def step_output(context, text):
    assert text in context.result.stdout, context.result


@then('the output does not contain "{text}"')
def step_output_without(context, text):
    assert text not in context.result.stdout, context.result


@then('standard error is one line with "{text}" and "{next_step}"')
@then('standard error is one line with "{text}" and ""')
def step_error(context, text, next_step=""):
    lines = context.result.stderr.splitlines()
    assert len(lines) == 1, context.result
    assert text in lines[0] and next_step in lines[0], lines


@then("the output has colour")
@then("the output has {no:w} colour")
def step_colour(context, no=""):
    assert (COLOUR in context.result.stdout) == (not no), context.result


@then("the help of every command has an example with the command's name")
def step_help(context):
    names = list_commands()
    assert len(names) >= 14, names
    for name in names:
        result = CliRunner().invoke(main, [*name.split()[1:], "--help"])
        assert result.exit_code == 0, result
        _, _, example = result.output.partition("Example")
        assert name in example, (name, result.output)
