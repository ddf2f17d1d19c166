"""Import trimming: keeps what is imported but never used out of the start.

Many softswitches may start on one machine, and each has little memory.
"""

from __future__ import annotations

import sys
from importlib.util import LazyLoader, find_spec, module_from_spec

# Twisted binds it for its HTTP client, which the softswitch has no use for; it brings urllib, email and more.
UNUSED = ("http.cookiejar",)


def load_lazily(*names: str) -> None:
    """From now on these modules are loaded at the first use of what is in them, not as they are imported."""
    for name in names:
        if name in sys.modules:
            continue
        spec = find_spec(name)
        if spec is None or spec.loader is None:
            continue
        spec.loader = LazyLoader(spec.loader)
        module = module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
        parent, _, child = name.rpartition(".")
        if parent:
            setattr(sys.modules[parent], child, module)


load_lazily(*UNUSED)
