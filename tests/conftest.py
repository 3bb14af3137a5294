"""Fixed seeds, so that every run gives the same verdict."""

import os

from hypothesis import HealthCheck, Phase, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    # Shrinking may take minutes; the profile "shrink" does it on demand.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "shrink",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "soak",
    deadline=None,
    max_examples=2_000,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("SCALEBEND_HYPOTHESIS_PROFILE", "ci"))
