"""Session tokens: forged, malformed and overlong tokens are refused."""

from __future__ import annotations

import base64
import unittest

from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import token as tokens

_KEY = b"shared secret"
_FLOORS = {"alert-db-1": position.Position(3, 17)}


class TokenTest(unittest.TestCase):
    """Tokens that are signed with the right key, another key or none."""

    def test_issued_token_is_read_back(self) -> None:
        token = tokens.issue(_FLOORS, _KEY)
        self.assertEqual(tokens.read(token, _KEY).ok, _FLOORS)

    def test_token_with_a_changed_character_is_refused(self) -> None:
        token = tokens.issue(_FLOORS, _KEY)
        for index, character in enumerate(token.rstrip("=")):
            other = "A" if character != "A" else "B"
            forged = token[:index] + other + token[index + 1 :]
            with self.subTest(index):
                self.assert_refused(forged)

    def test_forged_malformed_and_overlong_tokens_are_refused(self) -> None:
        for token in (
            tokens.issue(_FLOORS, b"another secret"),
            "",
            "a",
            "not base64!",
            "é",
            base64.urlsafe_b64encode(b"short").decode(),
            "A" * (tokens.TOKEN_LIMIT + 1),
        ):
            with self.subTest(token[:20]):
                self.assert_refused(token)

    def assert_refused(self, token: str) -> None:
        failure = tokens.read(token, _KEY).error
        self.assertIsInstance(failure, errors.BadToken)
