"""Authenticates callers by their bearer keys."""

import hashlib
import hmac

from aiohttp import web

from lagooncrank import model
from lagooncrank import results
from lagooncrank.server import _interfaces

SCHEME = "Bearer "


class Authenticator:
    """Finds the client account of a request by its key.

    Only the SHA-256 hashes of keys are known, from the declarations in force.
    """

    def __init__(self, shared: _interfaces.SharedState) -> None:
        self._shared = shared
        self._revision = 0
        self._keys: tuple[tuple[str, model.ClientAccount], ...] = ()

    def authenticate_account(self, request: web.Request) -> model.ClientAccount:
        """Returns the client account whose key the request carries.

        Raises:
            LagooncrankError: The key is missing or unknown.
        """
        header = request.headers.get("Authorization", "")
        if not header.startswith(SCHEME):
            raise results.error(
                results.ResultCode.UNAUTHENTICATED,
                "a key is required; send it in the header "
                "'Authorization: Bearer KEY'",
            )
        # The HTTP library decodes bytes that are no UTF-8 to surrogates.
        key = (
            header.removeprefix(SCHEME).strip().encode(errors="surrogateescape")
        )
        account = self._find_account(hashlib.sha256(key).hexdigest())
        if account is None:
            raise results.error(
                results.ResultCode.UNAUTHENTICATED,
                "no client account has this key",
            )
        return account

    def _find_account(self, digest: str) -> model.ClientAccount | None:
        """Compares with every key, so that the duration reveals nothing."""
        self._refresh()
        matching_account = None
        for known_digest, account in self._keys:
            if hmac.compare_digest(known_digest, digest):
                matching_account = account
        return matching_account

    def _refresh(self) -> None:
        record = self._shared.view.configuration
        if record is None or record.revision == self._revision:
            return
        self._revision = record.revision
        self._keys = tuple(
            (digest, account)
            for account in record.declarations.client_accounts
            for digest in account.key_sha256s
        )


def check_allowed(
    account: model.ClientAccount, service: model.ServiceName
) -> None:
    """Checks that a client account may use a service.

    Raises:
        LagooncrankError: The declarations do not allow it.
    """
    if account.services and service not in account.services:
        raise results.error(
            results.ResultCode.FORBIDDEN,
            f"client account {account.name!r} may not use {service!r}",
        )
