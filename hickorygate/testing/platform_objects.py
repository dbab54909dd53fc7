"""What the platform gives a process under test: ports and stored objects."""

from __future__ import annotations

import socket

from hickorygate.upstreams import member as members

__all__ = ["configuration", "database_entry", "free_port", "route_entry"]

_SERVICE = "ledger"


def free_port() -> int:
    """Returns a TCP port of the loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def database_entry(
    member: members.Member, state: str = "ready"
) -> dict[str, object]:
    """Returns the service discovery entry of a stand-in database.

    Args:
      member: the database.
      state: "ready" or "draining".
    """
    return {
        "service": _SERVICE,
        "address": f"{member.host}:{member.port}",
        "zone": "a",
        "slots": 2,
        "state": state,
        "db_role": "primary" if member.leads else "replica",
        "born": 1,
    }


def route_entry(name: str, public: bool = False) -> dict[str, object]:
    """Returns a route to the primary, for statements of up to a second."""
    return {
        "name": f"r-{name}",
        "host": name,
        "type": "primary",
        "timeout_ms": 1_000,
        "latency_goal_ms": 200,
        "priority": 0,
        "service": _SERVICE,
        "public": public,
    }


def configuration(
    version: int, *routes: dict[str, object]
) -> dict[str, object]:
    """Returns a configuration of one service, without a list of workspaces."""
    services = [{"name": _SERVICE, "max_conns": 20, "sync_replicas": 1}]
    return {"version": version, "routes": [*routes], "services": services}
