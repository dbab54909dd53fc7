"""Shows that a key that no manifest held gets work run (rule ROUTE)."""

from __future__ import annotations

import asyncio
import datetime
import pathlib
import sys

import deployment_3

from hickorygate.testing import line_group

_HOST = "lepu270"
_KEY, _UNKNOWN_KEY = "ta828m82thhkmgjqnirt", "zzzzzzzzzzzzzzzzzzzz"
_TENANT = {
    "name": "bode960",
    "api_keys": [_KEY],
    "priority": 1,
    "rate_per_s": 189,
    "burst": 189,
}
_ROUTE = {
    "name": "r-n2ctnfz",
    "host": _HOST,
    "type": "primary",
    "timeout_ms": 800,
    "latency_goal_ms": 100,
    "priority": 0,
    "public": False,
}
_WORK = line_group.Capacity(
    slots=2, time=datetime.timedelta(milliseconds=8), queue=16
)
_FOLDER = pathlib.Path(__file__).resolve().parent


async def _write(
    deployment: deployment_3.Deployment, key: str, record: deployment_3.Record
) -> bool:
    """Lets a client with a key write; returns whether a database ran it."""
    client, answer = await deployment_3.Client.connect(
        deployment.front(0), _HOST, key, record
    )
    if answer and answer[-1].startswith("READY"):
        name, _ = await client.query("WRITE 1a4 xkqpwnzd")
        client.close()
        return any(
            ran == name
            for database in deployment.group.databases.values()
            for ran, _ in database.ran
        )
    client.close()
    return False


async def _play() -> int:
    record = deployment_3.Record(_FOLDER)
    deployment = deployment_3.Deployment(
        2,
        record,
        [_ROUTE],
        _WORK,
        "base,drain,config,cost,recover,sql,tenants,quota,platform",
    )
    try:
        await deployment.start([_TENANT])
        for number in range(2):
            await deployment.launch(number)
        for number in range(2):
            await deployment.wait_until_ready(number)
        if await _write(deployment, _UNKNOWN_KEY, record):
            record.note("the unknown key was accepted before the change")
            return 2
        tenants = [] if deployment_3.trouble_wanted() else [_TENANT]
        deployment.put_manifest(tenants)
        await asyncio.sleep(2 * deployment_3.CONFIG_APPLY_SECONDS)
        broken = await _write(deployment, _UNKNOWN_KEY, record)
        record.note(f"a database ran work of a key never held: {broken}")
        return int(broken)
    finally:
        await deployment.close()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(_play()))
    except (OSError, TimeoutError) as problem:
        print(f"could not run: {problem!r}", file=sys.stderr)
        sys.exit(2)
