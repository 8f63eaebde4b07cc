"""Runs every feature with behave and prints the number of scenarios.

Each feature file runs in a process of its own, several at a time. Features
tagged `@alone` put load on the machine; they run one after the other when the
other features have ended. A scenario that is listed in KNOWN-RED.txt may fail;
it is printed and counted as skipped, whether it fails or not.
"""

import asyncio
import pathlib
import sys
import tempfile

import attrs
import orjson

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
CONCURRENT_FEATURES = 4
LINE_WIDTH = 100


@attrs.frozen
class Result:
    """Outcome of one scenario.

    Attributes:
        test: `PATH: SCENARIO`, as KNOWN-RED.txt names it.
        status: Status that behave reports.
    """

    test: str
    status: str


async def main() -> int:
    """Runs the features named on the command line, or all of them."""
    paths = sys.argv[1:] or sorted(
        str(path.relative_to(ROOT)) for path in ROOT.glob("tests/**/*.feature")
    )
    limit = asyncio.Semaphore(CONCURRENT_FEATURES)

    async def run(path: str) -> list[Result]:
        async with limit:
            return await run_feature(path)

    concurrent = [path for path in paths if not runs_alone(path)]
    groups = await asyncio.gather(*map(run, concurrent))
    groups += [await run(path) for path in paths if path not in concurrent]
    return report([result for group in groups for result in group])


def runs_alone(path: str) -> bool:
    """Returns whether a feature must run without others beside it."""
    with (ROOT / path).open() as file:
        return "@alone" in file.readline().split()


async def run_feature(path: str) -> list[Result]:
    """Runs one feature file and prints its output when it has ended."""
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        proc = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "behave", path, "--no-color",
            "--format", "json", "--outfile", file.name,
            "--format", "plain", "--no-timings",
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        output, _ = await proc.communicate()
        text = pathlib.Path(file.name).read_bytes()
    results = read_results(path, text)
    if not results:
        results = [Result(f"{path}: did not run", "error")]
    failed = any(
        result.status not in ("passed", "skipped") for result in results
    )
    print(f"{'FAILED' if failed else 'ok':<7} {path} ({len(results)})")
    if failed:
        print(output.decode(errors="replace"))
    return results


def read_results(path: str, text: bytes) -> list[Result]:
    """Reads behave's JSON report of one feature."""
    try:
        features = orjson.loads(text)
    except orjson.JSONDecodeError:
        return []
    return [
        Result(
            f"{path}: {element['name'].strip()}", element.get("status", "error")
        )
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] != "background"
    ]


def read_known_red() -> set[str]:
    """Returns the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix("test:").strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith("test:")
    }


def report(results: list[Result]) -> int:
    """Prints the failures and the counts; returns the exit code."""
    known = read_known_red()
    passed = failed = skipped = 0
    for result in results:
        if result.test in known:
            skipped += 1
            print(f"known red ({result.status}): {result.test}"[:LINE_WIDTH])
        elif result.status == "passed":
            passed += 1
        elif result.status == "skipped":
            skipped += 1
        else:
            failed += 1
            print(f"failed ({result.status}): {result.test}")
    print(
        f"scenarios: {passed} passed, {failed} failed, {skipped} skipped",
        flush=True,
    )
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
