"""Where a process runs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from copperrun.routing.scoring import Distance


class ProcessLocation(NamedTuple):
    """Where a process runs.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        region: Its region.
        region_by_zone: Region of each zone.
    """

    instance: str
    zone: str
    region: str
    region_by_zone: Mapping[str, str]

    def distance_to(self, zone: str) -> Distance:
        """Return the distance class of a zone."""
        if zone == self.zone:
            return Distance.ZONE
        if self.region_by_zone.get(zone) == self.region:
            return Distance.REGION
        return Distance.REMOTE
