"""TLS contexts from the settings, for callers and for databases."""

from __future__ import annotations

import functools
import ssl

import expression

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib

__all__ = ["ContextResult", "client_context", "server_context"]

_CACHED = 8
"""Contexts for databases; one is made for each connection otherwise."""

ContextResult = expression.Result[ssl.SSLContext | None, errors.FileInvalid]


def server_context(settings: settings_lib.TlsSettings | None) -> ContextResult:
    """Returns the context for callers; None if there is no TLS.

    With an authority, callers must show a certificate that it signed.
    """
    if settings is None:
        return expression.Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if settings.certificate is None:
        return _invalid("certificate", "TLS for callers needs one")
    if settings.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return _loaded(context, settings)


@functools.lru_cache(maxsize=_CACHED)
def client_context(settings: settings_lib.TlsSettings | None) -> ContextResult:
    """Returns the context for databases; None if there is no TLS.

    Databases are reached by address, so the authority vouches for them and
    host names aren't compared.
    """
    if settings is None:
        return expression.Ok(None)
    if settings.authority is None:
        return _invalid("authority", "TLS to databases needs one to check them")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    return _loaded(context, settings)


def _loaded(
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
        return _invalid("tls", f"{path} can't be used: {error}")
    return expression.Ok(context)


def _invalid(where: str, reason: str) -> ContextResult:
    problem = errors.Problem(None, where, reason)
    return expression.Error(errors.FileInvalid("settings", (problem,)))
