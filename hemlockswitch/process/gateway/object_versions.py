"""Recorded versions of the objects of one kind, which tell new entries from outdated ones."""

from dataclasses import replace

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject

MOST_REMOVED = 4_096
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
    >>> len(versions.take(leaving).items)
    1
    >>> len(versions.take(make_page(StoredObject("servers", "s1", 7, "live"))).items)
    0
    >>> versions.known, versions.changed
    (9, 9)
    """

    def __init__(self) -> None:
        self.known = 0
        self.changed = 0
        self._present: dict[str, int] = {}
        self._removed: dict[str, int] = {}

    def take(self, page: ObjectPage) -> ObjectPage:
        """Record a page, and return it with its new entries only.

        A list that is older than the recorded state has none.
        """
        if page.is_whole:
            return self._take_list(page)
        news: list[StoredObject] = []
        for item in page.items:
            if self._is_news(item):
                self.changed = max(self.changed, self._find_change(item, page))
                self._note(item)
                news.append(item)
        self.known = max(self.known, page.version)
        return replace(page, items=tuple(news))

    def note_unchanged(self, changed: int, until: int) -> bool:
        """Record that the last change up to version `until` was at version `changed`.

        Return whether all changes up to `until` are recorded with that.
        """
        if self.known < changed:
            return False
        self.known = max(self.known, until)
        return True

    def _take_list(self, page: ObjectPage) -> ObjectPage:
        if page.version < self.known:
            return replace(page, items=(), is_whole=False)
        listed = {item.name: item.version for item in page.items if not item.deleted}
        for name in self._present.keys() - listed.keys():
            self._note_removed(name, page.version)
        self._present = listed
        self.known = page.version
        # A list does not show removals, so the last change may be as late as the list itself.
        self.changed = max([page.version, *listed.values()])
        return page

    def _is_news(self, item: StoredObject) -> bool:
        known = self._present.get(item.name)
        if item.deleted:
            return known is not None and known <= item.version
        newest = self._removed.get(item.name, -1) if known is None else known
        return item.version > newest

    def _note(self, item: StoredObject) -> None:
        if item.deleted:
            del self._present[item.name]
            self._note_removed(item.name, item.version)
        else:
            self._removed.pop(item.name, None)
            self._present[item.name] = item.version

    def _note_removed(self, name: str, version: int) -> None:
        self._removed[name] = version
        if len(self._removed) > MOST_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _find_change(self, item: StoredObject, page: ObjectPage) -> int:
        """Return the version at which an object changed, or a later one.

        The entry of a removed object may have the version of the change before its removal.
        """
        known = self._present.get(item.name, 0)
        return page.version if item.deleted and item.version <= known else item.version
