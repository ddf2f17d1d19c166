"""Loads an operator file. The evaluation is hermetic: no `load`, no I/O, limited size, depth and time."""

from __future__ import annotations

import re
from pathlib import Path
from time import monotonic

import msgspec
import starlark

from softswitch.operator.tables import Operator

MAX_BYTES = 256 << 10
MAX_SECONDS, MAX_DEPTH = 2.0, 64
# A name that is assigned or called at the top level; assigned names are the tables. Names that start with
# `_` are private to the file.
NAME = re.compile(r"(?m)^([A-Za-z]\w*)\s*(?:=(?!=)|\()")
POSITION = re.compile(r"--> [^\n]*?:(\d+)(?::(\d+))?")
PATH = re.compile(r" - at `\$(?:\.([\w.]+))?`")


class OperatorFileError(Exception):
    """An operator file cannot be used; the message has the file, the line and the remedy."""


def load(path: str | Path) -> Operator:
    """Returns the tables of a file. Raises OperatorFileError with a one-line message if it is not valid."""
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as e:
        raise OperatorFileError(f"{path}: can't be read: {e}") from None
    return parse_text(text, str(path))


def parse_text(text: str, name: str) -> Operator:
    """Evaluates the text of an operator file. OperatorFileError has the position and the remedy."""
    if len(text) > MAX_BYTES:
        raise OperatorFileError(
            f"{name}: {len(text)} bytes; at most {MAX_BYTES} are allowed, so keep data out"
        )
    module, deadline = starlark.Module(), monotonic() + MAX_SECONDS
    options = starlark.EvalOptions(
        check_cancelled=lambda: monotonic() > deadline, max_callstack_size=MAX_DEPTH
    )
    try:
        tree = starlark.parse(name, text, starlark.Dialect.standard())
        starlark.eval_with(options, module, tree, starlark.Globals.standard())
    except Exception as e:
        message = str(e)
        position = POSITION.search(message)
        error = re.search(r"(?m)^error: (.*)", message)
        summary = error[1] if error else message.strip().splitlines()[0]
        if monotonic() > deadline:
            summary = f"it took over {MAX_SECONDS:g} s; an operator file must only set tables"
        raise OperatorFileError(f"{name}:{position[1] if position else 1}: {summary}") from None
    table_names = {f.name for f in msgspec.structs.fields(Operator)}
    tables = {}
    for match in NAME.finditer(text):
        word, line = match[1], text.count("\n", 0, match.start()) + 1
        if text[match.end() - 1] != "=" or word in ("def", "for", "if", "load"):
            continue
        if word not in table_names:
            raise OperatorFileError(
                f"{name}:{line}: `{word}` is not a table; the tables are "
                f"{', '.join(sorted(table_names))}, and private names of the file start with `_`"
            )
        tables[word] = module[word]
    try:
        return msgspec.convert(tables, Operator)
    except (msgspec.ValidationError, ValueError) as e:
        message = str(e)
        path = PATH.search(message)
        words = (path[1] or "").split(".") if path else []
        key = f"`{'.'.join(words)}`: " if words and words[0] else ""
        raise OperatorFileError(f"{name}:{_line_of(text, words)}: {key}{PATH.sub('', message)}") from None


def _line_of(text: str, words: list[str]) -> int:
    """Returns the line of a key, given as its path: table, field, and so on.

    This is the first line that names the last of them, searched from the line of the one before it.
    """
    offset = 0
    for n, word in enumerate(w for w in words if w):
        pattern = rf"(?m)^{word}\s*=" if n == 0 else rf"[\"']{word}[\"']|\b{word}\s*="
        match = re.compile(pattern).search(text, offset)
        offset = match.start() if match else offset
    return text.count("\n", 0, offset) + 1
