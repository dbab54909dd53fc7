"""Generates sheets of any size, for tests and benchmarks."""

from __future__ import annotations

__all__ = ["text"]

_HEAD = """format: 1
proxies: {proxies}
services:
  - name: alert-db
    ranks:
      - {{name: urgent, target_ms: 250, floor: 0.5}}
      - {{name: normal, target_ms: 1000, floor: 0.2}}
      - {{name: background, target_ms: 10000, floor: 0.05}}
    groups:
"""
_GROUP = """      - name: alert-db-{group}
        schemas: [alerts_{group}]
        databases:
"""
_DATABASE = (
    "          - {{name: alert-db-{group}{letter}, host: 127.0.0.1, "
    "port: {port}, zone: nl-west-{letter}, connections: 20, slots: 3}}\n"
)
_FIRST_PORT = 10_000


def text(groups: int = 1, proxies: int = 5, comment: str = "") -> str:
    """Returns the YAML of a sheet.

    Args:
      groups: number of groups, each with three databases.
      proxies: number of proxies that share the databases.
      comment: comment at the head, which makes the text unique.
    """
    parts = [f"# {comment}\n" if comment else "", _HEAD.format(proxies=proxies)]
    for group in range(groups):
        parts.append(_GROUP.format(group=group))
        parts.extend(
            _DATABASE.format(
                group=group, letter=letter, port=_FIRST_PORT + 3 * group + index
            )
            for index, letter in enumerate("abc")
        )
    return "".join(parts)
