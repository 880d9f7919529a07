"""Settings shared by all tests."""

from __future__ import annotations

import asyncio
import inspect

import pytest
from hypothesis import settings

# Every run uses the same examples, so that its result can be reproduced.
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run test coroutines to their end."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    asyncio.run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True
