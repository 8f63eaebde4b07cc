"""Steps that compare the documentation with the code and check its links."""

import pathlib
import re
import subprocess
import tempfile

import attrs
import click
from behave import then

from guavawing.cli.exits import ExitCode
from guavawing.cli.main import main
from guavawing.distribution.events import FetchFault
from guavawing.node import settings
from guavawing.node.caller_response import build_response
from guavawing.node.messages import Answer
from guavawing.node.metrics import Metrics
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, verdict_name

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = ROOT / "docs/operators/settings.md"
COUNTERS = ROOT / "docs/operators/counters.md"
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
# A link with a scheme, such as https, does not refer to a file.
SCHEME = re.compile(r"[a-z]+:")
KINDS = {verdict_name(k(Reason.SERVED)): k for k in (NotRun, Ran, MayHaveRun)}


def read_rows(text, heading):
    """Returns the other cells of each row below a heading by its first cell."""
    _, _, rest = text.partition(f"\n## {heading}\n")
    part = rest.partition("\n## ")[0]
    lines = [line for line in part.splitlines() if line.startswith("|")]
    rows = {}
    for line in lines[2:]:
        name, *cells = (cell.strip() for cell in line.strip("|").split("|"))
        name = name.strip("`")
        assert name not in rows, f"{heading}: {name} occurs twice"
        rows[name] = cells
    return rows


def list_settings():
    return {
        f"[{section}] {name}": key
        for section, keys in settings._SECTIONS.items()
        for name, key in keys.items()
    }


def list_series():
    payload, _ = Metrics().render()
    names = re.findall(r"^# TYPE (\S+) ", payload.decode(), re.MULTILINE)
    assert names
    return names


def walk_commands(command=main, name="guavawing"):
    """Yields each command and each group with its full name."""
    yield name, command
    for part, each in getattr(command, "commands", {}).items():
        yield from walk_commands(each, f"{name} {part}")


def list_commands():
    found = walk_commands()
    return {n: c for n, c in found if not isinstance(c, click.Group)}


NAMES = {
    "settings": list_settings,
    "series": list_series,
    "reasons": lambda: map(str, Reason),
    "exit codes": lambda: (str(int(code)) for code in ExitCode),
    "fetch faults": lambda: map(str, FetchFault),
    "commands": list_commands,
}


def list_names(kind):
    return set(NAMES[kind]())


def find_differences(text, heading, names):
    return set(read_rows(text, heading)) ^ set(names)


@then('the rows of "{page}" under "{heading}" are the {kind}')
def step_rows(context, page, heading, kind):
    context.page_text = (ROOT / page).read_text()
    context.heading = heading
    wrong = find_differences(context.page_text, heading, list_names(kind))
    assert not wrong, f"{page}: missing or unknown: {sorted(wrong)}"


@then("the check fails if any one of the {kind} is missing")
def step_missing_row(context, kind):
    names = list_names(kind)
    for name in names:
        row = re.compile(rf"^\| `?{re.escape(name)}`? \|.*\n", re.MULTILINE)
        text = row.sub("", context.page_text)
        wrong = find_differences(text, context.heading, names)
        assert wrong == {name}, (name, wrong)


@then('each row of the settings has the default or "required"')
def step_defaults(context):
    fields = attrs.fields_dict(settings.Settings)
    rows = read_rows(SETTINGS.read_text(), "Keys")
    for name, key in list_settings().items():
        value = fields[key.field].default
        expected = str(value).removesuffix(".0")
        if key.required:
            expected = "required"
        elif value in (None, "", ()):
            expected = "none"
        assert rows[name][0].strip("`") == expected, (name, expected)


@then("the example of the settings has every key and is valid")
def step_example(context):
    example = re.search(r"```ini\n(.*?)```", SETTINGS.read_text(), re.DOTALL)
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(example.group(1))
        file.flush()
        settings.read_settings(pathlib.Path(file.name))
    keys = re.findall(r"^(\w+) =", example.group(1), re.MULTILINE)
    expected = [name.split()[1] for name in list_settings()]
    assert sorted(keys) == sorted(expected), (keys, expected)


@then("each row of the reasons has the statuses of its verdicts")
def step_statuses(context):
    rows = read_rows(COUNTERS.read_text(), "Reasons")
    for reason in Reason:
        verdicts, statuses, *_ = rows[str(reason)]
        if reason is Reason.SERVED:
            assert (verdicts, statuses) == ("ran", "the target's")
            continue
        kinds = [KINDS[name] for name in verdicts.split(", ")]
        answers = [Answer(kind(reason)) for kind in kinds]
        expected = [build_response(a, "id", "").status for a in answers]
        unique = ", ".join(str(each) for each in dict.fromkeys(expected))
        assert statuses == unique, (reason, statuses, unique)


@then("every group and command has an example")
def step_examples(context):
    found = walk_commands()
    missing = [n for n, c in found if "Example" not in (c.epilog or "")]
    assert not missing, missing


@then("every option of every command has a help text")
def step_option_help(context):
    missing = [
        f"{name} {param.name}"
        for name, command in list_commands().items()
        for param in command.params
        if isinstance(param, click.Option) and not param.help
    ]
    assert not missing, missing


@then("every relative link of every page points to a file or folder")
def step_links(context):
    pages = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard",
         "*.md"],
        cwd=ROOT, check=True, capture_output=True, text=True,
    ).stdout.split()  # fmt: skip
    assert pages
    broken = [
        f"{page}: {link}"
        for page in pages
        for link in LINK.findall((ROOT / page).read_text())
        if not SCHEME.match(link)
        and not (ROOT / page).parent.joinpath(link).exists()
    ]
    assert not broken, broken
