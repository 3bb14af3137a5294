"""Identifier types. Each is a plain value at run time and distinct to the checker."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of one scalebend instance, unique in the system."""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Name of an availability zone."""

Region = NewType("Region", str)
"""Name of a region; availability zones belong to one."""

CustomerId = NewType("CustomerId", str)
"""Name of a customer in the configuration."""

UpstreamId = NewType("UpstreamId", str)
"""What an upstream is known by inside the system. In the gateway it names one
incarnation, see :func:`scalebend.models.endpoints.build_upstream_id`; elsewhere it is
the upstream's own name, beside an :data:`Incarnation`."""

UpstreamName = NewType("UpstreamName", str)
"""Name an upstream of the gateway gives itself; it may keep it over a restart."""

Incarnation = NewType("Incarnation", int)
"""Number that an upstream or instance raises at each start."""

ModelName = NewType("ModelName", str)
"""Name of a model, as callers write it."""

ServiceName = NewType("ServiceName", str)
"""Name of a plain service."""

RequestId = NewType("RequestId", str)
"""One request of a caller."""

Fingerprint = NewType("Fingerprint", str)
"""What arrivals of the same request have in common, in hexadecimal; see
:func:`scalebend.core.fingerprints.compute_fingerprint`."""

AttemptId = NewType("AttemptId", str)
"""One attempt to run a request on one upstream, unique in the system."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Caller's key for a request that is not to be repeated; scoped by customer."""

ChangeId = NewType("ChangeId", str)
"""Operator's key for one configuration change; a resend carries the same."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Number of an accepted configuration; rises by one with each change."""

Epoch = NewType("Epoch", int)
"""Number of the committed instance list that ownership is derived from."""

Term = NewType("Term", int)
"""Election term of the control group; also the fencing number of orders."""

LogIndex = NewType("LogIndex", int)
"""Position in the control group's log; the first entry has index 1."""

RoutingVersion = NewType("RoutingVersion", int)
"""Number of a routing document; operators raise it in uneven steps."""

SendId = NewType("SendId", int)
"""One question of a front whether it may send a request, among all of its own."""
