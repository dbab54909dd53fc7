"""Settings of one process, as frozen pydantic models.

`load` reads the YAML file and validates it. Keys that end in `_ms` hold
milliseconds. Components take these models as they are; there is no second set
of data classes, because settings enter the process only here.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
from typing import Annotated
from typing import Literal

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import yaml_validation

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
_Secret = Annotated[pydantic.SecretStr, pydantic.Field(min_length=1)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class TlsSettings(_Model):
    """Certificate files, in PEM format.

    Attributes:
      certificate: certificate that the proxy presents.
      key: private key of the certificate.
      authority: certificate authority that the other end's certificate must be
        signed by.
    """

    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None
    authority: pathlib.Path | None = None


class CallerSettings(_Model):
    """The front end that callers connect to.

    Attributes:
      host: address to listen on.
      port: TCP port to listen on; 0 lets the system choose.
      users: user names and their passwords.
      tls: certificates for TLS; without them callers can't use TLS.
      tls_required: whether callers that don't use TLS are refused.
      statement_limit: maximum size of a statement, in bytes.
      token_key: secret that signs session tokens; the same on all proxies.
      drain_notice_ms: time between reporting "not ready" and refusing new
        callers, so that the load balancer notices the shutdown.
      drain_timeout_ms: how long a shutdown waits for requests in progress.
    """

    host: str = "127.0.0.1"
    port: _Port = 3306
    users: dict[str, pydantic.SecretStr]
    tls: TlsSettings | None = None
    tls_required: bool = False
    statement_limit: Annotated[int, pydantic.Field(gt=0)] = 1_048_576
    token_key: _Secret
    drain_notice_ms: _Milliseconds = 2_000
    drain_timeout_ms: _Milliseconds = 30_000

    @property
    def drain_notice(self) -> datetime.timedelta:
        """Time that the load balancer gets to notice a shutdown."""
        return datetime.timedelta(milliseconds=self.drain_notice_ms)

    @property
    def drain_timeout(self) -> datetime.timedelta:
        """Time that a shutdown waits for requests in progress."""
        return datetime.timedelta(milliseconds=self.drain_timeout_ms)


class UpstreamSettings(_Model):
    """The connections to databases.

    Attributes:
      user: user name on the databases.
      password: password of the user.
      tls: certificates for TLS; without them connections are unencrypted.
      connect_timeout_ms: time limit for opening a connection.
      probe_period_ms: time between two status probes of a database.
      probe_timeout_ms: time after which a probe counts as unanswered.
      detection_ms: how long a primary must be unreachable, for this proxy and
        for its replicas, before it is replaced.
      confirm_timeout_ms: how long a write waits for a majority of the group to
        confirm it.
      keepalive_ms: time between two checks of connections that run no
        statement; a database closes a connection that sends nothing for 1 s.
      stall_ms: how long a statement may go without an answer before another
        connection tries to acquire the slot that the statement holds.
      transaction_idle_ms: how long an open transaction may send nothing before
        it is ended.
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
        """Time limit for opening a connection."""
        return datetime.timedelta(milliseconds=self.connect_timeout_ms)

    @property
    def probe_period(self) -> datetime.timedelta:
        """Time between two status probes of a database."""
        return datetime.timedelta(milliseconds=self.probe_period_ms)

    @property
    def probe_timeout(self) -> datetime.timedelta:
        """Time after which a probe counts as unanswered."""
        return datetime.timedelta(milliseconds=self.probe_timeout_ms)

    @property
    def detection_time(self) -> datetime.timedelta:
        """Time after which an unreachable primary is replaced."""
        return datetime.timedelta(milliseconds=self.detection_ms)

    @property
    def keepalive(self) -> datetime.timedelta:
        """Time between two checks of connections that run no statement."""
        return datetime.timedelta(milliseconds=self.keepalive_ms)

    @property
    def stall(self) -> datetime.timedelta:
        """Time without an answer after which a statement counts as stalled."""
        return datetime.timedelta(milliseconds=self.stall_ms)

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """Time after which an open transaction that sends nothing is ended."""
        return datetime.timedelta(milliseconds=self.transaction_idle_ms)

    @property
    def confirm_timeout(self) -> datetime.timedelta:
        """Time that a write waits for confirmation by a majority."""
        return datetime.timedelta(milliseconds=self.confirm_timeout_ms)


class PlatformSettings(_Model):
    """The platform's object API.

    Attributes:
      url: base address of the API.
      timeout_ms: time after which a call counts as unanswered.
      reads_per_second: sustained rate of reads and watches of this process.
      writes_per_second: sustained rate of changes by this process.
      call_burst: maximum number of calls at once, for reads and for changes
        each.
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
    """A proxy that is contacted to discover the others.

    Attributes:
      name: name of the proxy; empty if the settings don't give one.
      address: address of the proxy, as `host:port`.
    """

    name: str
    address: str


class CurveSettings(_Model):
    """CurveZMQ keys of the links between proxies: 40 characters of Z85 each.

    Attributes:
      secret_key: secret key of this proxy.
      public_keys: public keys of all proxies by name, this one included.
    """

    secret_key: _CurveSecret
    public_keys: dict[str, _CurveKey]


class PeerSettings(_Model):
    """The links to the other proxies.

    Attributes:
      host: address at which the other proxies reach this one.
      port: TCP port of the pyzmq socket; 0 lets the system choose.
      seeds: proxies that are contacted to discover the others, as `host:port`
        or `name@host:port`; the name is required if `curve` is set.
      heartbeat_ms: time between two heartbeats.
      curve: encryption keys; without them the links are neither authenticated
        nor encrypted.
    """

    host: str = "127.0.0.1"
    port: _Port = 0
    seeds: tuple[str, ...] = ()
    heartbeat_ms: _Milliseconds = 250
    curve: CurveSettings | None = None

    @property
    def parsed_seeds(self) -> tuple[Seed, ...]:
        """The seeds, each split into name and address."""
        parts = (seed.rpartition("@") for seed in self.seeds)
        return tuple(Seed(name, address) for name, _, address in parts)

    @pydantic.model_validator(mode="after")
    def _require_seed_names(self) -> PeerSettings:
        if self.curve is None:
            return self
        for seed in self.parsed_seeds:
            if seed.name not in self.curve.public_keys:
                raise ValueError(
                    f"seed {seed.address!r} needs the form name@host:port "
                    "with a name from curve.public_keys"
                )
        return self

    @property
    def heartbeat(self) -> datetime.timedelta:
        """Time between two heartbeats."""
        return datetime.timedelta(milliseconds=self.heartbeat_ms)


class AdminSettings(_Model):
    """The operators' HTTP port: metrics, readiness, status and timeline.

    Attributes:
      host: address to listen on; anyone who can connect to it can shut the
        proxy down.
      port: TCP port to listen on; 0 lets the system choose.
    """

    host: str = "127.0.0.1"
    port: _Port = 0


class LogSettings(_Model):
    """The log: JSON lines on standard error.

    Attributes:
      level: lowest level that is logged.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"


class Settings(_Model):
    """All settings of one process.

    Attributes:
      name: unique name of this proxy.
      zone: availability zone of this proxy.
      callers: the front end that callers connect to.
      upstreams: the connections to databases.
      platform: the platform's object API.
      peers: the links to the other proxies.
      admin: the operators' HTTP port.
      log: the log on standard error.
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
    """Reads and validates a settings file.

    Args:
      path: the YAML file.

    Returns:
      The settings, or all problems that were found in the file.
    """
    return yaml_validation.read_file(path).bind(
        lambda text: yaml_validation.read_yaml(Settings, text, str(path))
    )
