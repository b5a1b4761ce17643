"""Checks that the log events in the code and in docs/events.md are the same.

Also checks that each event number is used once and that each event is logged.
"""

import pathlib
import re
import sys

CODE = pathlib.Path("src/process/telemetry/events.h")
CATALOGUE = pathlib.Path("docs/events.md")


def main() -> int:
    code = re.findall(r"(k\w+) = (\d+),", CODE.read_text())
    rows = re.findall(r"^\| (\d+) \| (k\w+) \|", CATALOGUE.read_text(), re.M)
    catalogue = [(name, number) for number, name in rows]
    problems = [f"{CODE}: {name} = {number} is not in {CATALOGUE}"
                for name, number in code if (name, number) not in catalogue]
    problems += [f"{CATALOGUE}: {name} = {number} is not in {CODE}"
                 for name, number in catalogue if (name, number) not in code]
    numbers = [number for _, number in code]
    problems += [f"{CODE}: number {number} is used twice"
                 for number in sorted(set(numbers)) if numbers.count(number) > 1]
    sources = "\n".join(path.read_text() for path in pathlib.Path("src").rglob("*.cc"))
    problems += [f"{CODE}: {name} is never logged"
                 for name, _ in code if f"LogEvent::{name}" not in sources]
    print("\n".join(problems), end="\n" if problems else "")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
