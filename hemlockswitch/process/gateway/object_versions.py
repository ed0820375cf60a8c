"""Recorded versions of the objects of one kind, which tell new entries from outdated ones."""

from dataclasses import replace

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject

MAX_RECORDED_REMOVALS = 4_096
"""Maximum number of recorded removals; pages that are in transit at one moment contain far fewer."""


class ObjectVersions:
    """The recorded version of each object of a kind, and the version up to which all changes are recorded.

    Explanation
    ===========

    Pages arrive by several paths and may overtake one another: from the own watch, from another gateway's
    watch, and as the answer to a separate query. An entry is applied only if it is newer than the recorded
    version of its object.

    Examples
    ========

    >>> def make_page(*items):
    ...     return ObjectPage(items, max(item.version for item in items))
    >>> versions = ObjectVersions()
    >>> leaving = make_page(StoredObject("servers", "s1", 9, "leaving"))
    >>> len(versions.apply(leaving).items)
    1
    >>> len(versions.apply(make_page(StoredObject("servers", "s1", 7, "live"))).items)
    0
    >>> versions.complete_version, versions.changed_version
    (9, 9)
    """

    def __init__(self) -> None:
        self.complete_version = 0
        self.changed_version = 0
        self._present: dict[str, int] = {}
        self._removed: dict[str, int] = {}

    def apply(self, page: ObjectPage) -> ObjectPage:
        """Record a page, and return it with its new entries only.

        A list that is older than the recorded state has none.
        """
        if page.is_whole:
            return self._apply_list(page)
        new_items: list[StoredObject] = []
        for item in page.items:
            if self._is_new(item):
                self.changed_version = max(
                    self.changed_version, self._find_changed_version(item, page)
                )
                self._record(item)
                new_items.append(item)
        self.complete_version = max(self.complete_version, page.version)
        return replace(page, items=tuple(new_items))

    def record_unchanged(self, changed: int, until: int) -> bool:
        """Record that the last change up to version `until` was at version `changed`.

        Return whether all changes up to `until` are recorded with that.
        """
        if self.complete_version < changed:
            return False
        self.complete_version = max(self.complete_version, until)
        return True

    def _apply_list(self, page: ObjectPage) -> ObjectPage:
        if page.version < self.complete_version:
            return replace(page, items=(), is_whole=False)
        listed = {item.name: item.version for item in page.items if not item.deleted}
        for name in self._present.keys() - listed.keys():
            self._record_removed(name, page.version)
        self._present = listed
        self.complete_version = page.version
        # A list does not show removals, so the last change may be as late as the list itself.
        self.changed_version = max([page.version, *listed.values()])
        return page

    def _is_new(self, item: StoredObject) -> bool:
        recorded = self._present.get(item.name)
        if item.deleted:
            return recorded is not None and recorded <= item.version
        newest = self._removed.get(item.name, -1) if recorded is None else recorded
        return item.version > newest

    def _record(self, item: StoredObject) -> None:
        if item.deleted:
            del self._present[item.name]
            self._record_removed(item.name, item.version)
        else:
            self._removed.pop(item.name, None)
            self._present[item.name] = item.version

    def _record_removed(self, name: str, version: int) -> None:
        self._removed[name] = version
        if len(self._removed) > MAX_RECORDED_REMOVALS:
            del self._removed[next(iter(self._removed))]

    def _find_changed_version(self, item: StoredObject, page: ObjectPage) -> int:
        """Return the version at which an object changed, or a later one.

        The entry of a removed object may have the version of the change before its removal.
        """
        recorded = self._present.get(item.name, 0)
        return page.version if item.deleted and item.version <= recorded else item.version
