"""Identifier types, distinct to the type checker and plain values at run time."""

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
"""Id of an upstream. In the gateway it names one incarnation, see
:func:`scalebend.models.endpoints.build_upstream_id`; elsewhere it is the upstream's
name, and the :data:`Incarnation` is separate."""

UpstreamName = NewType("UpstreamName", str)
"""Name that an upstream of the gateway registers; may persist over restarts."""

Incarnation = NewType("Incarnation", int)
"""Number of a run of an upstream or instance; rises with each start."""

ModelName = NewType("ModelName", str)
"""Name of a model, as callers use it."""

ServiceName = NewType("ServiceName", str)
"""Name of a plain service."""

RequestId = NewType("RequestId", str)
"""Id of a caller's request."""

Fingerprint = NewType("Fingerprint", str)
"""Hash that all arrivals of the same request share, in hexadecimal; see
:func:`scalebend.core.fingerprints.compute_fingerprint`."""

PartId = NewType("PartId", str)
"""Name of a part of prompts that several requests share, together with the model that
reads it; see :func:`scalebend.core.fingerprints.build_part_id`."""

PoolId = NewType("PoolId", str)
"""Name of the service or model whose upstreams may take a request."""

AttemptId = NewType("AttemptId", str)
"""Id of one attempt to run a request on one upstream, unique in the system."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Caller's key for a non-idempotent request; scoped by customer."""

ChangeId = NewType("ChangeId", str)
"""Operator's key for one configuration change; a resend carries the same."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Number of an accepted configuration; rises with each change."""

Epoch = NewType("Epoch", int)
"""Number of the committed instance list that ownership is derived from."""

Term = NewType("Term", int)
"""Election term of the control group; also the fencing number of orders."""

LogIndex = NewType("LogIndex", int)
"""Position in the control group's log; the first entry has index 1."""

RoutingVersion = NewType("RoutingVersion", int)
"""Number of a routing document; rises with each change, with gaps."""

EvacuationRevision = NewType("EvacuationRevision", int)
"""Number of a change of the evacuated availability zones; rises with each."""

SendPermitId = NewType("SendPermitId", int)
"""Number of a front's request for a send permit, unique within the front."""
