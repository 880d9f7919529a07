"""A fixed part of the fault matrix; ``make matrix`` runs all of it."""

from __future__ import annotations

import pytest
from matrix import FAULTS
from matrix import quick_cells
from matrix import run_cell
from testtools.assertions import assert_that
from testtools.matchers import Equals


@pytest.mark.parametrize("fault", FAULTS)
def test_promises_hold_with_a_fault_at_every_step(fault: str) -> None:
    violations = {
        str(cell): cell_violations
        for cell in quick_cells()
        if cell.faults == (fault,) and (cell_violations := run_cell(cell))
    }
    assert_that(violations, Equals({}))
