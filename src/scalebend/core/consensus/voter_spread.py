"""What a group of voters may lose, by the zones and regions that they stand in.

What a majority of the voters has on disk is kept as long as more than half of them
remain. So the zones, regions or machines that may be lost at the same time must never
hold half of the votes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from scalebend.core.consensus.messages import Member, Place


class Tolerance(msgspec.Struct, frozen=True):
    """How many of one kind may be lost at the same time, with their disks."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def min_voters(self) -> int:
        """The least number of voters that may lose this many machines."""
        return 2 * self.machines + 1

    @property
    def needs_spread(self) -> bool:
        """Whether it matters where the voters stand."""
        return self.zones > 0 or self.regions > 0

    def covers(self, demand: Tolerance) -> bool:
        """Whether at least this much may be lost of each kind."""
        return (
            self.machines >= demand.machines
            and self.zones >= demand.zones
            and self.regions >= demand.regions
        )


Places = Mapping[Member, Place]
"""Where members stand; one whose place is not known counts as a zone of its own."""


def compute_tolerance(voters: Iterable[Member], places: Places) -> Tolerance:
    """Return what these voters may lose."""
    members = list(voters)
    spare = _count_spare(len(members))
    return Tolerance(
        spare,
        _count_tolerated(_count_zones(members, places), spare),
        _count_tolerated(_count_regions(members, places), spare),
    )


def compute_excess(voters: Iterable[Member], places: Places, demand: Tolerance) -> int:
    """Return by how many votes the zones or regions that may be lost hold too many."""
    members = list(voters)
    spare = _count_spare(len(members))
    zones = _sum_largest(_count_zones(members, places), demand.zones)
    regions = _sum_largest(_count_regions(members, places), demand.regions)
    return max(0, zones - spare) + max(0, regions - spare)


def choose_voter_count(
    available: Iterable[Member], places: Places, demand: Tolerance
) -> int:
    """Return the least number of voters with which ``available`` meet the demand.

    Without such a number it is the one for the machines alone.
    """
    members = sorted(available)
    if demand.needs_spread:
        for count in range(demand.min_voters, len(members) + 1, 2):
            chosen = _choose_spread(members, count, places, demand)
            if not compute_excess(chosen, places, demand):
                return count
    return demand.min_voters


def _choose_spread(
    members: list[Member], count: int, places: Places, demand: Tolerance
) -> list[Member]:
    """Choose members one by one from where the fewest are chosen already."""
    left = list(members)
    chosen: list[Member] = []
    while len(chosen) < count:
        best = min(left, key=lambda one: rate_place(one, chosen, places, demand))
        left.remove(best)
        chosen.append(best)
    return chosen


def rate_place(
    member: Member, chosen: Iterable[Member], places: Places, demand: Tolerance
) -> tuple[int, int, Member]:
    """Rate a member by how many of ``chosen`` are near; fewer are better.

    Regions come first if they may be lost: zones of one region are lost with it.
    """
    others = list(chosen)
    zones = _count_zones(others, places)[_find_zone(member, places)]
    regions = _count_regions(others, places)[_find_region(member, places)]
    return (regions, zones, member) if demand.regions else (zones, regions, member)


def _count_spare(voters: int) -> int:
    """Voters that may be lost while more than half remain."""
    return max(0, (voters - 1) // 2)


def _count_tolerated(counts: Counter[str], spare: int) -> int:
    tolerated = 0
    while tolerated < len(counts) and _sum_largest(counts, tolerated + 1) <= spare:
        tolerated += 1
    return tolerated


def _sum_largest(counts: Counter[str], number: int) -> int:
    return sum(count for _, count in counts.most_common(number)) if number else 0


def _count_zones(members: Iterable[Member], places: Places) -> Counter[str]:
    return Counter(_find_zone(member, places) for member in members)


def _count_regions(members: Iterable[Member], places: Places) -> Counter[str]:
    return Counter(_find_region(member, places) for member in members)


def _find_zone(member: Member, places: Places) -> str:
    place = places.get(member)
    return f"{place.region}/{place.zone}" if place else f"?{member.instance}"


def _find_region(member: Member, places: Places) -> str:
    place = places.get(member)
    return place.region if place else f"?{member.instance}"
