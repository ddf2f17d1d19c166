"""Lazy imports: modules that are imported but never used are not loaded at startup.

Many softswitch processes may run on one machine, each with little memory.
"""

from __future__ import annotations

import sys
from importlib.util import LazyLoader, find_spec, module_from_spec

# Twisted imports http.cookiejar for its HTTP client, which the softswitch does not use. That module loads
# urllib, email and more.
UNUSED = ("http.cookiejar",)


def load_lazily(*names: str) -> None:
    """Makes these modules load at the first access to an attribute instead of at their import."""
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
