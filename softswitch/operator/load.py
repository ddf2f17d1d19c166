"""Reads an operator file. Hermetic: no `load`, no I/O, bounded size, depth and time."""

from __future__ import annotations

import re
from pathlib import Path
from time import monotonic

import msgspec
import starlark

from softswitch.operator.tables import Operator

MOST_BYTES = 256 << 10
MOST_SECONDS, MOST_DEPTH = 2.0, 64
NAME = re.compile(r"(?m)^([A-Za-z]\w*)\s*(?:=(?!=)|\()")  # a table set at the top; `_x` is the file's own
WHERE = re.compile(r"--> [^\n]*?:(\d+)(?::(\d+))?")
PATH = re.compile(r" - at `\$(?:\.([\w.]+))?`")


class OperatorFileError(Exception):
    """An operator file that cannot be used; the text names file, line and remedy."""


def load(path: str | Path) -> Operator:
    """The tables of the file; OperatorFileError with one plain line if it can't be read or breaks a limit."""
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as e:
        raise OperatorFileError(f"{path}: can't be read: {e}") from None
    return parse_text(text, str(path))


def parse_text(text: str, name: str) -> Operator:
    """Evaluates the operator file's text. OperatorFileError names the place and the remedy."""
    if len(text) > MOST_BYTES:
        raise OperatorFileError(f"{name}: {len(text)} bytes; at most {MOST_BYTES} are read, so keep data out")
    module, until = starlark.Module(), monotonic() + MOST_SECONDS
    options = starlark.EvalOptions(check_cancelled=lambda: monotonic() > until, max_callstack_size=MOST_DEPTH)
    try:
        tree = starlark.parse(name, text, starlark.Dialect.standard())
        starlark.eval_with(options, module, tree, starlark.Globals.standard())
    except Exception as e:
        said = str(e)
        where = WHERE.search(said)
        told = re.search(r"(?m)^error: (.*)", said)
        first = told[1] if told else said.strip().splitlines()[0]
        if monotonic() > until:
            first = f"it took over {MOST_SECONDS:g} s: an operator file sets tables, and computes little"
        raise OperatorFileError(f"{name}:{where[1] if where else 1}: {first}") from None
    known = {f.name for f in msgspec.structs.fields(Operator)}
    tables = {}
    for found in NAME.finditer(text):
        word, line = found[1], text.count("\n", 0, found.start()) + 1
        if text[found.end() - 1] != "=" or word in ("def", "for", "if", "load"):
            continue
        if word not in known:
            raise OperatorFileError(
                f"{name}:{line}: `{word}` is no table; there are "
                f"{', '.join(sorted(known))}, and names of the file's own begin with `_`"
            )
        tables[word] = module[word]
    try:
        return msgspec.convert(tables, Operator)
    except (msgspec.ValidationError, ValueError) as e:
        said = str(e)
        at = PATH.search(said)
        words = (at[1] or "").split(".") if at else []
        key = f"`{'.'.join(words)}`: " if words and words[0] else ""
        raise OperatorFileError(f"{name}:{_line_of(text, words)}: {key}{PATH.sub('', said)}") from None


def _line_of(text: str, words: list[str]) -> int:
    """The line that sets a key: the table's, and within it the first that names the field."""
    at = 0
    for n, word in enumerate(w for w in words if w):
        pattern = rf"(?m)^{word}\s*=" if n == 0 else rf"[\"']{word}[\"']|\b{word}\s*="
        found = re.compile(pattern).search(text, at)
        at = found.start() if found else at
    return text.count("\n", 0, at) + 1
