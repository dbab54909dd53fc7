"""Session tokens: what is forged, malformed or too long is refused."""

from __future__ import annotations

import base64
import unittest

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import token as tokens

_KEY = b"shared secret"
_FLOORS = {"alert-db-1": positions.Position(3, 17)}


class TokenTest(unittest.TestCase):
    """Tokens of this fleet and others."""

    def test_own_token_is_read(self) -> None:
        token = tokens.issue(_FLOORS, _KEY)
        self.assertEqual(tokens.read(token, _KEY).ok, _FLOORS)

    def test_any_changed_character_is_refused(self) -> None:
        token = tokens.issue(_FLOORS, _KEY)
        for index, character in enumerate(token.rstrip("=")):
            other = "A" if character != "A" else "B"
            forged = token[:index] + other + token[index + 1 :]
            with self.subTest(index):
                self.assert_refused(forged)

    def test_foreign_and_malformed_tokens_are_refused(self) -> None:
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
