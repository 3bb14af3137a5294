"""The founding of the control group on the first start of a deployment."""

from __future__ import annotations

from typing import NamedTuple

from scalebend.models.ids import InstanceId


class StoredFounding(NamedTuple):
    """A founder's intention to form the group, kept until after a restart."""

    founders: list[InstanceId]
    stored_at: float
    """Wall clock, in seconds."""


class Founding(NamedTuple):
    """How a founder may form the group."""

    founders: list[InstanceId]
    needs_all: bool
    """Whether every founder must still have its own intention."""
