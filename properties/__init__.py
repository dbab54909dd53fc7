"""Property-based tests with Hypothesis.

The profile that this module loads derives the examples from the source code
of each test, so that every run checks the same examples.
"""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
