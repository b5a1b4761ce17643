#!/usr/bin/env python3
"""Checks the layers of src/ and that the platform's wire names stay in platform/.

The layers are life spans: request < version < connection < process. A file may
include files of its own or a shorter life span, and only process may include
platform/. A folder has at most MAX_FILES files, a file at most MAX_LINES lines.
String literals with which platform/ names things on the wire must not appear in
src/. Literals that are common words or names of HTTP are exempt.
"""

import pathlib
import re
import sys

LAYERS = ["request", "version", "connection", "process"]
MAX_FILES = 40
MAX_LINES = 500
HTTP_NAMES = {
    "Content-Type", "Content-Length", "If-None-Match", "Retry-After", "Host",
    "application/json", "application/octet-stream", "connection",
    "content-length", "expect", "host", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
}
# Names that are also part of carawayrelay's own interface.
OWN_NAMES = {"/readyz"}
INCLUDE = re.compile(r'^#include "([^"]+)"', re.MULTILINE)
LITERAL = re.compile(r'"((?:[^"\\\n]|\\.)*)"')


def code_files(folder):
    return sorted(p for p in pathlib.Path(folder).rglob("*")
                  if p.suffix in (".h", ".cc") and "gen" not in p.parts)


def literals(path):
    text = re.sub(r"^#include.*$", "", path.read_text(), flags=re.MULTILINE)
    text = re.sub(r"//.*$", "", text, flags=re.MULTILINE)
    return set(LITERAL.findall(text))


def is_wire_name(literal):
    # Single words are too common to attribute to the platform: a wire name has a
    # capital after a lower-case letter, a dash between letters, or a path slash.
    return (re.fullmatch(r"[A-Za-z0-9/_-]{4,}", literal) is not None and
            re.search(r"[a-z][A-Z]|[a-z]-[a-z]|/[a-z]", literal) is not None and
            literal not in HTTP_NAMES | OWN_NAMES)


def layer_of(include):
    first = include.split("/")[0]
    if first == "carawayrelay":
        first = include.split("/")[1].removesuffix(".h")
        return "version" if first == "operators" else first
    return first


def main():
    problems = []
    for path in code_files("src"):
        parts = path.parts
        if len(parts) < 3:
            continue
        layer = parts[1]
        for include in INCLUDE.findall(path.read_text()):
            other = layer_of(include)
            if other == "platform" and layer != "process":
                problems.append(f"{path}: includes {include}")
            if other in LAYERS and LAYERS.index(other) > LAYERS.index(layer):
                problems.append(f"{path}: includes {include} of a longer life span")
    wire_names = set()
    for path in code_files("platform"):
        wire_names |= {l for l in literals(path) if is_wire_name(l)}
    for path in code_files("src"):
        for literal in sorted(literals(path) & wire_names):
            problems.append(f'{path}: uses the platform\'s wire name "{literal}"')
    folders = {}
    for path in code_files("src") + code_files("platform"):
        folders.setdefault(path.parent, []).append(path)
        lines = len(path.read_text().splitlines())
        if lines > MAX_LINES:
            problems.append(f"{path}: {lines} lines")
    for folder, files in folders.items():
        if len(files) > MAX_FILES:
            problems.append(f"{folder}: {len(files)} files")
    for problem in problems:
        print(problem)
    print(f"{len(wire_names)} wire names of the platform, {len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
