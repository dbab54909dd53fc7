"""Reads the platform's settings file of `a.b=value` lines.

LF ends a line, also with a CR before it. Other characters that Unicode counts
as line breaks or blanks belong to the value.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import re
from typing import Annotated

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "Address",
    "AddressField",
    "Limits",
    "ProcessSettings",
    "load",
    "parse",
    "parse_address",
]


_MAX_GRACE_SECONDS = 3_600.0
_MILLISECOND = datetime.timedelta(milliseconds=1)
_CONFIGURATION_BOUND = datetime.timedelta(seconds=3)
"""Time after which a configuration must be in force if the file names none."""
_MAX_MILLISECONDS = 86_400_000.0
_MAX_CORES = 4_096.0
_MBPS_PER_CORE = 50.0
"""Bandwidth in Mbit/s that a core's work as a serving proxy needs at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A host and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


_ADDRESS = re.compile(
    r"(?=.{1,253}:)((?:[a-z0-9_-]{1,63}\.)*[a-z0-9_-]{1,63}):(\d{1,5})",
    re.ASCII | re.IGNORECASE,
)
"""An IPv4 address or a host name, and a port."""

_PORTS = re.compile(r"(\d{1,5}),(\d{1,5})", re.ASCII)

_KEYS_CONTRACT = "tenants"
"""Contract of the deployments whose callers have keys."""

_LINE_END = "\n"
_BLANKS = " \t\r"
"""Characters around a key or a value that don't belong to it."""


def parse_address(text: object) -> Address:
    """Parses `HOST:PORT`.

    Raises:
      ValueError: the text does not have this form, so no connection could be
        opened.
    """
    found = _ADDRESS.fullmatch(str(text))
    if found is None or not 0 < int(found[2]) < 65_536:
        raise ValueError(f"{text!r} is not HOST:PORT; example: 10.0.0.1:80")
    return Address(found[1], int(found[2]))


def parse_ports(text: object) -> range:
    """Parses `FIRST,LAST`, a range of TCP ports.

    Raises:
      ValueError: the text does not have this form.
    """
    found = _PORTS.fullmatch(str(text))
    if found is None:
        raise ValueError(f"{text!r} is not FIRST,LAST; example: 7440,7455")
    first, last = int(found[1]), int(found[2])
    if not 0 < first <= last < 65_536:
        raise ValueError(f"{text!r} is not a range of TCP ports")
    return range(first, last + 1)


AddressField = Annotated[Address, pydantic.BeforeValidator(parse_address)]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The resources that the instance has.

    Attributes:
      cores: number of cores that the process may use.
      link_mbps: bandwidth of the network, in Mbit/s; None if unknown.
    """

    cores: float = 1.0
    link_mbps: float | None = None

    @property
    def capacity(self) -> float:
        """Cores for the work of a serving proxy that the network keeps busy."""
        if self.link_mbps is None:
            return self.cores
        return min(self.cores, self.link_mbps / _MBPS_PER_CORE)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """The settings of one proxy process.

    Attributes:
      name: name of the instance.
      zone: availability zone of the instance.
      callers: address that callers connect to.
      readiness: address of the readiness endpoint.
      store: address of the platform's object store.
      promotion_api: address of the platform's promotion API.
      grace_seconds: time from SIGTERM to SIGKILL.
      configuration_bound: time after which an acknowledged configuration must
        be in force.
      statements_host: address to listen on for statements of other proxies;
        empty for no listener.
      statements_ports: TCP ports to try for that listener, in order.
      limits: resources of the instance.
      first_start: whether the whole fleet starts for the first time.
      memory_mb: memory of the instance in MB; None if unknown.
      max_descriptors: number of descriptors that the process may open; None if
        unknown.
      keys_required: whether callers need keys even if the configuration lists
        none; it is applied when the process starts.
    """

    name: types.ProxyName
    zone: types.ZoneName
    callers: Address
    readiness: Address
    store: Address
    promotion_api: Address
    grace_seconds: float
    configuration_bound: datetime.timedelta = _CONFIGURATION_BOUND
    statements_host: str = ""
    statements_ports: range = range(0)
    limits: Limits = Limits()
    first_start: bool = False
    memory_mb: float | None = None
    max_descriptors: int | None = None
    keys_required: bool = False


class _File(pydantic.BaseModel):
    """The keys of the settings file that are used; others are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)

    node_name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    front: AddressField = pydantic.Field(alias="listen.front")
    ready: AddressField = pydantic.Field(alias="listen.ready")
    store: AddressField = pydantic.Field(alias="platform.address")
    cloud: AddressField = pydantic.Field(alias="cloud_api.address")
    grace_s: float = pydantic.Field(
        5.0, alias="bounds.grace_s", gt=0, le=_MAX_GRACE_SECONDS
    )
    config_apply_ms: float = pydantic.Field(
        _CONFIGURATION_BOUND / _MILLISECOND,
        alias="bounds.config_apply_ms",
        gt=0,
        le=_MAX_MILLISECONDS,
    )

    ip: str = ""
    bootstrap: bool = False
    port_range: Annotated[range, pydantic.PlainValidator(parse_ports)] = range(
        0
    )
    cpu_share: float = pydantic.Field(
        1.0, alias="limits.cpu_share", gt=0, le=_MAX_CORES
    )
    cpu_cores: float = pydantic.Field(
        1.0, alias="limits.cpu_cores", gt=0, le=_MAX_CORES
    )
    link_mbps: float | None = pydantic.Field(
        None, alias="limits.link_mbps", gt=0
    )
    memory_mb: float | None = pydantic.Field(
        None, alias="limits.memory_mb", gt=0, allow_inf_nan=False
    )
    max_fds: int | None = pydantic.Field(None, alias="limits.max_fds", gt=0)
    contracts: str = ""

    def settings(self) -> ProcessSettings:
        """Returns the settings in the form that the proxy uses."""
        return ProcessSettings(
            name=self.node_name,
            zone=self.zone,
            callers=self.front,
            readiness=self.ready,
            store=self.store,
            promotion_api=self.cloud,
            grace_seconds=self.grace_s,
            configuration_bound=self.config_apply_ms * _MILLISECOND,
            statements_host=self.ip,
            first_start=self.bootstrap,
            statements_ports=self.port_range,
            limits=Limits(self.cpu_share * self.cpu_cores, self.link_mbps),
            memory_mb=self.memory_mb,
            max_descriptors=self.max_fds,
            keys_required=self._has_contract(_KEYS_CONTRACT),
        )

    def _has_contract(self, name: str) -> bool:
        return name in {word.strip() for word in self.contracts.split(",")}


SettingsResult = expression.Result[ProcessSettings, errors.Failure]


def load(path: pathlib.Path) -> SettingsResult:
    """Reads a settings file."""
    try:
        # Without `read_text`, which takes a CR alone for a line break.
        text = path.read_bytes().decode("utf-8")
    except (OSError, UnicodeError) as error:
        problem = errors.FileProblem(None, "file", str(error))
        return expression.Error(errors.FileInvalid(str(path), (problem,)))
    return parse(text, str(path))


def parse(text: str, path: str) -> SettingsResult:
    """Parses the text of a settings file.

    Returns:
      The settings, or `FileInvalid` with the line, the value and the reason
      of each problem.
    """
    values: dict[str, str] = {}
    numbers: dict[str, int] = {}
    for number, line in enumerate(text.split(_LINE_END), start=1):
        key, equals, value = line.partition("=")
        if equals:
            name = key.strip(_BLANKS)
            values[name] = value.strip(_BLANKS)
            numbers[name] = number
    try:
        return expression.Ok(_File.model_validate(values).settings())
    except pydantic.ValidationError as error:
        problems = tuple(
            _problem(str(detail["loc"][0]), detail, numbers, values)
            for detail in error.errors(include_url=False)
        )
        return expression.Error(errors.FileInvalid(path, problems))


def _problem(
    key: str,
    detail: object,
    numbers: dict[str, int],
    values: dict[str, str],
) -> errors.FileProblem:
    found = f"{values[key]!r}: " if key in values else ""
    message = detail["msg"]  # type: ignore[index]
    return errors.FileProblem(numbers.get(key), key, found + str(message))
