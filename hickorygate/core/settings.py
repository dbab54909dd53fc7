"""Settings of one process: the border model, passed whole to what is built.

The YAML file is validated by `load`. Durations are in milliseconds where the
key says so. Frozen pydantic models are used as they are: they are the
border.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
from typing import Annotated
from typing import Literal

import expression
import pydantic

from hickorygate.core import border
from hickorygate.core import errors

__all__ = [
    "AdminSettings",
    "CallerSettings",
    "CurveSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Seed",
    "Settings",
    "TlsSettings",
    "UpstreamSettings",
    "load",
]

_Port = Annotated[int, pydantic.Field(ge=0, lt=65_536)]
_Milliseconds = Annotated[int, pydantic.Field(gt=0)]
_CurveKey = Annotated[
    str, pydantic.StringConstraints(min_length=40, max_length=40)
]
_CurveSecret = Annotated[
    pydantic.SecretStr, pydantic.Field(min_length=40, max_length=40)
]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TlsSettings(_Model):
    """Certificate files, in PEM form.

    Attributes:
      certificate: of this end.
      key: its private key.
      authority: checks the other end's certificate.
    """

    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None
    authority: pathlib.Path | None = None


class CallerSettings(_Model):
    """The front end that callers connect to.

    Attributes:
      host: address to listen on.
      port: TCP port; 0 lets the system choose.
      users: password of each user.
      tls: optional TLS.
      tls_required: whether callers without TLS are refused.
      statement_limit: bytes of the longest statement.
      token_key: secret that signs session tokens; the same on all proxies.
      drain_notice_ms: from "not ready" to the end of taking callers, so that
        the balancer notices.
      drain_timeout_ms: how long a shutdown waits for requests in progress.
    """

    host: str = "127.0.0.1"
    port: _Port = 3306
    users: dict[str, pydantic.SecretStr]
    tls: TlsSettings | None = None
    tls_required: bool = False
    statement_limit: Annotated[int, pydantic.Field(gt=0)] = 1_048_576
    token_key: pydantic.SecretStr
    drain_notice_ms: _Milliseconds = 2_000
    drain_timeout_ms: _Milliseconds = 30_000

    @property
    def drain_notice(self) -> datetime.timedelta:
        """Time for the balancer to notice a shutdown."""
        return datetime.timedelta(milliseconds=self.drain_notice_ms)

    @property
    def drain_timeout(self) -> datetime.timedelta:
        """Time for requests in progress to end."""
        return datetime.timedelta(milliseconds=self.drain_timeout_ms)


class UpstreamSettings(_Model):
    """How the proxy talks to databases.

    Attributes:
      user: user name there.
      password: its password.
      tls: optional TLS.
      connect_timeout_ms: to open a connection.
      probe_period_ms: between two status probes of a database.
      probe_timeout_ms: after which a probe counts as unanswered.
      detection_ms: how long a primary must be out of reach, for us and
        for its replicas, before it is replaced.
      confirm_timeout_ms: how long a write waits for a majority.
      keepalive_ms: between two checks of connections that aren't in use; a
        database ends a connection that sends nothing for 1 s.
      stall_ms: how long a statement may be silent before a second connection
        stands by for its slot.
      transaction_idle_ms: how long an open transaction may send nothing.
    """

    user: str = "hickorygate"
    password: pydantic.SecretStr = pydantic.SecretStr("")
    tls: TlsSettings | None = None
    connect_timeout_ms: _Milliseconds = 1_000
    probe_period_ms: _Milliseconds = 200
    probe_timeout_ms: _Milliseconds = 500
    detection_ms: _Milliseconds = 800
    confirm_timeout_ms: _Milliseconds = 2_000
    keepalive_ms: Annotated[int, pydantic.Field(gt=0, lt=1_000)] = 400
    stall_ms: _Milliseconds = 500
    transaction_idle_ms: _Milliseconds = 5_000

    @property
    def connect_timeout(self) -> datetime.timedelta:
        """Time to open a connection."""
        return datetime.timedelta(milliseconds=self.connect_timeout_ms)

    @property
    def probe_period(self) -> datetime.timedelta:
        """Time between two probes of a database."""
        return datetime.timedelta(milliseconds=self.probe_period_ms)

    @property
    def probe_timeout(self) -> datetime.timedelta:
        """Time after which a probe counts as unanswered."""
        return datetime.timedelta(milliseconds=self.probe_timeout_ms)

    @property
    def detection_time(self) -> datetime.timedelta:
        """Time out of reach after which a primary is replaced."""
        return datetime.timedelta(milliseconds=self.detection_ms)

    @property
    def keepalive(self) -> datetime.timedelta:
        """Time between two checks of unused connections."""
        return datetime.timedelta(milliseconds=self.keepalive_ms)

    @property
    def stall(self) -> datetime.timedelta:
        """Time after which a silent statement is looked into."""
        return datetime.timedelta(milliseconds=self.stall_ms)

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """Time that an open transaction may send nothing."""
        return datetime.timedelta(milliseconds=self.transaction_idle_ms)

    @property
    def confirm_timeout(self) -> datetime.timedelta:
        """Time that a write waits for a majority."""
        return datetime.timedelta(milliseconds=self.confirm_timeout_ms)


class PlatformSettings(_Model):
    """The platform's object API.

    Attributes:
      url: base address.
      timeout_ms: after which a call counts as unanswered.
      reads_per_second: reads and watches that this process may begin.
      writes_per_second: changes that it may make.
      call_burst: calls that it may make at once.
    """

    url: Annotated[str, pydantic.StringConstraints(pattern=r"^https?://.+")]
    timeout_ms: _Milliseconds = 1_000
    reads_per_second: Annotated[float, pydantic.Field(gt=0)] = 2.0
    writes_per_second: Annotated[float, pydantic.Field(gt=0)] = 0.5
    call_burst: Annotated[float, pydantic.Field(ge=1)] = 10.0

    @property
    def timeout(self) -> datetime.timedelta:
        """Time after which a call counts as unanswered."""
        return datetime.timedelta(milliseconds=self.timeout_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """A proxy to find the others through.

    Attributes:
      name: empty if the settings don't tell it.
      address: `host:port`.
    """

    name: str
    address: str


class CurveSettings(_Model):
    """Keys of the link between proxies, in Z85, 40 characters each.

    Attributes:
      secret_key: this proxy's own.
      public_keys: each proxy's, by its name, this one's included.
    """

    secret_key: _CurveSecret
    public_keys: dict[str, _CurveKey]


class PeerSettings(_Model):
    """The link to the other proxies.

    Attributes:
      host: address that the others reach this proxy by.
      port: TCP port of the pyzmq socket; 0 lets the system choose.
      seeds: proxies to find the others through, `host:port` or
        `name@host:port`; with keys, the name is needed.
      heartbeat_ms: time between two heartbeats.
      curve: keys; without them the link is open and unencrypted.
    """

    host: str = "127.0.0.1"
    port: _Port = 0
    seeds: tuple[str, ...] = ()
    heartbeat_ms: _Milliseconds = 250
    curve: CurveSettings | None = None

    @property
    def parsed_seeds(self) -> tuple[Seed, ...]:
        """The seeds, name and address apart."""
        parts = (seed.rpartition("@") for seed in self.seeds)
        return tuple(Seed(name, address) for name, _, address in parts)

    @pydantic.model_validator(mode="after")
    def _name_seeds(self) -> PeerSettings:
        if self.curve is None:
            return self
        for seed in self.parsed_seeds:
            if seed.name not in self.curve.public_keys:
                raise ValueError(
                    f"seed {seed.address!r} needs the form name@host:port "
                    "with a name of curve.public_keys"
                )
        return self

    @property
    def heartbeat(self) -> datetime.timedelta:
        """Time between two heartbeats."""
        return datetime.timedelta(milliseconds=self.heartbeat_ms)


class AdminSettings(_Model):
    """The operators' HTTP port: metrics, readiness, status, time line.

    Attributes:
      host: address to listen on; whoever reaches it can shut the proxy down.
      port: TCP port; 0 lets the system choose.
    """

    host: str = "127.0.0.1"
    port: _Port = 0


class LogSettings(_Model):
    """JSON-line logs on standard error.

    Attributes:
      level: the least that is logged.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"


class Settings(_Model):
    """All settings of one process.

    Attributes:
      name: unique name of this proxy.
      zone: its availability zone.
      callers: the front end.
      upstreams: the link to databases.
      platform: the link to the platform.
      peers: the link to the other proxies.
      admin: the operators' port.
      log: the log.
    """

    name: str
    zone: str
    callers: CallerSettings
    upstreams: UpstreamSettings = UpstreamSettings()
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    admin: AdminSettings = AdminSettings()
    log: LogSettings = LogSettings()


def load(
    path: pathlib.Path,
) -> expression.Result[Settings, errors.FileInvalid]:
    """Reads and validates a settings file."""
    return border.read_file(path).bind(
        lambda text: border.read_yaml(Settings, text, str(path))
    )
