"""How an account's limit divides: between the zones, between a zone's daemons, into units."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.shares.units import NOTHING, Units, UnitSizes, find_part
from hemlockswitch.version.models import OperatorFile

WRITERS = 2


@dataclass(frozen=True)
class ShareMember:
    """A daemon that may hold shares, or generations handed over."""

    name: str
    zone: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class ZoneTotals:
    """What a zone divides, and between whom.

    Parameters
    ==========

    totals : by account, the units that fall to the zone.
    names : the zone's live daemons.
    """

    totals: dict[str, Units]
    names: frozenset[str]


class ShareParts:
    """What falls to this daemon and its zone, by the file in force and the live members.

    Parameters
    ==========

    name, zone : of this daemon.
    find_file : the operator file in force.
    list_members : the live daemons that are not leaving.
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
        """Return the size of an account's units, or None for an unknown account."""
        file = self._find_file()
        if file is not self._sizes_of:
            self._sizes = {
                entry.name: UnitSizes.from_limits(entry.limits) for entry in file.client_accounts
            }
            self._sizes_of = file
        return self._sizes.get(account)

    def find_totals(self) -> ZoneTotals:
        """Return what the zone divides between its live daemons."""
        file = self._find_file()
        zones = sorted(file.zones)
        totals = {
            entry.name: find_part(Units.from_limits(entry.limits), entry.name, self.zone, zones)
            for entry in file.client_accounts
        }
        names = self.list_names() - ({self.name} if self.leaving else set())
        return ZoneTotals(totals, names)

    def find_own(self) -> dict[str, Units]:
        """Return the even part of each account that falls to this daemon."""
        divided = self.find_totals()
        names = sorted(divided.names)
        return {
            account: NOTHING if self.leaving else find_part(total, account, self.name, names)
            for account, total in divided.totals.items()
        }

    def list_names(self) -> frozenset[str]:
        """Return the zone's live daemons, this one among them."""
        members = self._list_members()
        return frozenset({one.name for one in members if one.zone == self.zone} | {self.name})

    def list_writers(self) -> list[str]:
        """Return the addresses to send a word to, in order; an empty one is this daemon."""
        addresses = {member.name: member.address for member in self._list_members()}
        order = rank_rendezvous(f"shares/{self.zone}", self.list_names())
        first = ["" if name == self.name else addresses.get(name, "") for name in order[:WRITERS]]
        return first if "" in first else [*first, ""]

    def list_lenders(self) -> list[str]:
        """Return the addresses of the other daemons, the own zone's first."""
        members = [member for member in self._list_members() if member.name != self.name]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone != self.zone)
        return [member.address for member in members]
