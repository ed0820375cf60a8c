"""Lookup of client accounts by their keys, resistant to timing attacks."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Self

from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.version.models import ClientAccount

SCHEME = "bearer "
HASH_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Return the hash of an account key as it is stored in the configuration.

    Examples
    ========

    >>> hash_key("secret")[:13]
    'sha256:2bb80d'
    """
    return HASH_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class AccountKeys:
    """The accounts of one revision, looked up by the caller's key.

    Parameters
    ==========

    accounts : the revision's client accounts.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._accounts = [(account.key_hash.encode(), account) for account in accounts]

    @classmethod
    def from_config(cls, accounts: Iterable[ClientAccount]) -> Self:
        """Return the lookup for a configuration's accounts."""
        return cls(accounts)

    def authenticate(self, authorization: str | None) -> ClientAccount:
        """Return the account whose key is in the ``Authorization`` header.

        Explanation
        ===========

        The key is compared with every account's, each in constant time, so that the duration does
        not reveal how close a guessed key is.

        Raises
        ======

        RequestError : `UNAUTHORIZED`, for a missing key as for an unknown one.
        """
        found: ClientAccount | None = None
        given = hash_key(_extract_key(authorization)).encode()
        for key_hash, account in self._accounts:
            if hmac.compare_digest(key_hash, given):
                found = account
        if found is None:
            raise RequestError(ErrorKind.UNAUTHORIZED, "no client account has this key")
        return found


def _extract_key(authorization: str | None) -> str:
    """Return the key in a bearer header, or an empty string."""
    if authorization is None or not authorization.lower().startswith(SCHEME):
        return ""
    return authorization[len(SCHEME) :].strip()
