"""Property-based tests with Hypothesis.

The profile that this module loads is derandomized, so that every run checks
the same examples. Hypothesis then derives the seed of a property from the
source code of its test or state machine, and a rename there would replace its
examples. Each property therefore pins its seed with `hypothesis.seed`.
"""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
