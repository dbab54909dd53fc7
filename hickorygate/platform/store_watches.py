"""How a process follows the configuration and the databases' entries."""

from __future__ import annotations

import datetime

from hickorygate.platform import configuration_decoding
from hickorygate.platform import object_client
from hickorygate.platform import object_decoding
from hickorygate.platform import settings as settings_lib
from hickorygate.store import list_watch

__all__ = ["configuration_watch", "databases_watch"]

_MIN_WATCH = datetime.timedelta(milliseconds=250)
_MAX_WATCH = datetime.timedelta(seconds=24)
"""Shortest and longest time for which the store is asked to hold a watch."""

_RECONNECT_MARGIN = datetime.timedelta(milliseconds=250)
"""Time to connect to the store anew and ask again after a call timed out."""


def configuration_watch(
    settings: settings_lib.ProcessSettings,
) -> list_watch.WatchSettings:
    """Returns how to follow the configuration.

    Its list and its watch are never outdated. A watch whose answer gets lost
    has timed out and has been repeated by the time that the change must be in
    force.
    """
    return list_watch.WatchSettings(
        configuration_decoding.CONFIGURATION, _watch_hold(settings)
    )


def databases_watch(
    settings: settings_lib.ProcessSettings,
) -> list_watch.WatchSettings:
    """Returns how to follow the entries of the databases.

    They may be outdated: a database announces its shutdown long before, and a
    lost one is noticed by probes.
    """
    return list_watch.WatchSettings(
        object_decoding.SERVERS, _watch_hold(settings), may_be_outdated=True
    )


def _watch_hold(settings: settings_lib.ProcessSettings) -> datetime.timedelta:
    delay = object_client.CALL_TIMEOUT + _RECONNECT_MARGIN
    return min(
        max(settings.configuration_bound - delay, _MIN_WATCH), _MAX_WATCH
    )
