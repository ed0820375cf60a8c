"""Divides an account's limit into units, between the zones, and between a zone's daemons."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.shares.units import NOTHING, Units, UnitSizes, find_part
from hemlockswitch.version.models import OperatorFile

WRITERS = 2


@dataclass(frozen=True)
class ShareMember:
    """A daemon that may receive shares or handed-over generations."""

    name: str
    zone: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class ZoneTotals:
    """The units that a zone divides, and the daemons between which it divides them.

    Parameters
    ==========

    totals : the zone's units by account.
    names : the zone's live daemons.
    """

    totals: dict[str, Units]
    names: frozenset[str]


class ShareParts:
    """Computes the parts of this daemon and its zone from the active operator file and the live members.

    Parameters
    ==========

    name, zone : name and zone of this daemon.
    find_file : returns the active operator file.
    list_members : returns the live daemons that are not leaving.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        find_file: Callable[[], OperatorFile],
        list_members: Callable[[], Iterable[ShareMember]],
    ) -> None:
        self.name = name
        self.zone = zone
        self.leaving = False
        self._find_file = find_file
        self._list_members = list_members
        self._sizes: dict[str, UnitSizes] = {}
        self._sizes_of: OperatorFile | None = None

    def find_sizes(self, account: str) -> UnitSizes | None:
        """Return the size of an account's units, or None if the account is not configured."""
        file = self._find_file()
        if file is not self._sizes_of:
            self._sizes = {
                entry.name: UnitSizes.from_limits(entry.limits) for entry in file.client_accounts
            }
            self._sizes_of = file
        return self._sizes.get(account)

    def find_totals(self) -> ZoneTotals:
        """Return the units that the zone divides between its live daemons."""
        file = self._find_file()
        zones = sorted(file.zones)
        totals = {
            entry.name: find_part(Units.from_limits(entry.limits), entry.name, self.zone, zones)
            for entry in file.client_accounts
        }
        names = self.list_names() - ({self.name} if self.leaving else set())
        return ZoneTotals(totals, names)

    def find_own(self) -> dict[str, Units]:
        """Return this daemon's even part of each account."""
        divided = self.find_totals()
        names = sorted(divided.names)
        return {
            account: NOTHING if self.leaving else find_part(total, account, self.name, names)
            for account, total in divided.totals.items()
        }

    def list_names(self) -> frozenset[str]:
        """Return the zone's live daemons, including this one."""
        members = self._list_members()
        return frozenset({one.name for one in members if one.zone == self.zone} | {self.name})

    def list_writers(self) -> list[str]:
        """Return the addresses to send a renewal to, in order; an empty address is this daemon."""
        addresses = {member.name: member.address for member in self._list_members()}
        order = rank_rendezvous(f"shares/{self.zone}", self.list_names())
        first = ["" if name == self.name else addresses.get(name, "") for name in order[:WRITERS]]
        return first if "" in first else [*first, ""]

    def list_lenders(self) -> list[str]:
        """Return the addresses of the other daemons in random order, those of the local zone first."""
        members = [member for member in self._list_members() if member.name != self.name]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone != self.zone)
        return [member.address for member in members]
