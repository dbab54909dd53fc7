"""Runs a test cluster for clients in other processes.

    python -m benchmarks.stand --port_file FILE

Writes the port of the first proxy to the file once the cluster is ready, and
runs until the process is terminated.
"""

from __future__ import annotations

import asyncio
import datetime
import pathlib

from absl import app
from absl import flags

from hickorygate.testing import cluster

_PORT_FILE = flags.DEFINE_string(
    "port_file", None, "File that receives the port."
)
_PROXIES = flags.DEFINE_integer("proxies", 1, "Number of proxies.")
_READY_TIMEOUT = datetime.timedelta(seconds=30)


async def _serve() -> None:
    test_cluster = await cluster.start(proxies=_PROXIES.value)
    await test_cluster.wait_until_ready(_READY_TIMEOUT)
    port_path = pathlib.Path(_PORT_FILE.value)
    temporary_path = port_path.with_suffix(".new")
    temporary_path.write_text(str(test_cluster.daemons[0].port))
    temporary_path.rename(port_path)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Runs the cluster until the process is terminated."""
    del argv
    asyncio.run(_serve())


if __name__ == "__main__":
    flags.mark_flag_as_required("port_file")
    app.run(main)
