"""Builds TLS contexts for callers and for databases from the settings."""

from __future__ import annotations

import functools
import ssl

import expression

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib

__all__ = ["ContextResult", "client_context", "server_context"]

_CACHED_CONTEXTS = 8
"""Maximum number of TLS contexts for databases in the cache. Connections with
the same settings share a context."""

ContextResult = expression.Result[ssl.SSLContext | None, errors.FileInvalid]


def server_context(settings: settings_lib.TlsSettings | None) -> ContextResult:
    """Returns the TLS context for callers; None without settings.

    If the settings name an authority, callers must present a certificate that
    it signed.

    Args:
      settings: certificate files; a certificate of the proxy is required.
    """
    if settings is None:
        return expression.Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if settings.certificate is None:
        return _invalid("certificate", "required for TLS with callers")
    if settings.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return _load_files(context, settings)


@functools.lru_cache(maxsize=_CACHED_CONTEXTS)
def client_context(settings: settings_lib.TlsSettings | None) -> ContextResult:
    """Returns the TLS context for databases; None without settings.

    Databases are reached by IP address. A certificate that the authority signed
    is therefore sufficient, and host names aren't checked.

    Args:
      settings: certificate files; an authority is required.
    """
    if settings is None:
        return expression.Ok(None)
    if settings.authority is None:
        return _invalid("authority", "required to verify databases over TLS")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    return _load_files(context, settings)


def _load_files(
    context: ssl.SSLContext, settings: settings_lib.TlsSettings
) -> ContextResult:
    path = settings.certificate
    try:
        if settings.certificate is not None:
            context.load_cert_chain(settings.certificate, settings.key)
        if settings.authority is not None:
            path = settings.authority
            context.load_verify_locations(settings.authority)
    except (OSError, ssl.SSLError) as error:
        return _invalid("tls", f"{path} can't be loaded: {error}")
    return expression.Ok(context)


def _invalid(where: str, reason: str) -> ContextResult:
    problem = errors.FileProblem(None, where, reason)
    return expression.Error(errors.FileInvalid("settings", (problem,)))
