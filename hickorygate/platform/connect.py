"""Builds the store client for the platform's object store."""

from __future__ import annotations

import random

from hickorygate.core import clock as clocks
from hickorygate.core import settings as settings_lib
from hickorygate.platform import object_client
from hickorygate.store import api as apis
from hickorygate.store import client

__all__ = ["build_client"]


def build_client(
    settings: settings_lib.PlatformSettings,
    clock: clocks.Clock,
    generator: random.Random,
) -> client.Client:
    """Returns a store client that has made no call yet.

    Args:
      settings: URL, time-out and rate limits of the store.
      clock: clock for rate limits and for backoff between attempts.
      generator: source of jitter.
    """
    api = object_client.ObjectStoreClient(
        settings.url.rstrip("/"), settings.timeout
    )
    return client.Client(
        apis.RateLimitedApi(api, settings, clock), clock, generator
    )
