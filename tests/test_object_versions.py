"""Recorded object versions, for pages that arrive by several paths and overtake one another."""

from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.process.gateway.object_versions import MOST_REMOVED, ObjectVersions


def put(name, version, value="live"):
    return StoredObject("servers", name, version, value)


def remove(name, version):
    return StoredObject("servers", name, version, None, True)


def page(*items, version=None, is_whole=False):
    newest = max((item.version for item in items), default=0)
    return ObjectPage(items, version or newest, is_whole)


def names(news):
    return [item.name for item in news.items]


# Guards against a leaving server that becomes live again by a page older than the recorded state.
def test_an_older_entry_does_not_replace_a_newer_one():
    versions = ObjectVersions()
    assert names(versions.take(page(put("a", 9, "leaving")))) == ["a"]
    assert names(versions.take(page(put("a", 7), put("b", 8)))) == ["b"]
    assert versions.known == 9


def test_an_older_page_does_not_restore_a_removed_entry():
    versions = ObjectVersions()
    versions.take(page(put("a", 5)))
    assert names(versions.take(page(remove("a", 8)))) == ["a"]
    assert names(versions.take(page(put("a", 5), put("a", 7)))) == []
    assert names(versions.take(page(put("a", 9)))) == ["a"]


def test_a_removal_may_have_the_version_of_the_last_change():
    versions = ObjectVersions()
    versions.take(page(put("a", 5)))
    assert names(versions.take(page(remove("a", 5), version=8))) == ["a"]
    assert versions.changed == 8, "the removal was at 8 or before"


def test_a_list_removes_missing_objects_and_an_older_list_none():
    versions = ObjectVersions()
    versions.take(page(put("a", 5), put("b", 6)))
    assert versions.take(page(put("b", 6), version=9, is_whole=True)).is_whole
    older = versions.take(page(put("a", 5), put("b", 6), version=7, is_whole=True))
    assert not older.is_whole and not older.items
    assert names(versions.take(page(put("a", 8)))) == [], "the list showed its removal"


def test_a_confirmation_applies_once_the_last_change_is_recorded():
    versions = ObjectVersions()
    versions.take(page(put("a", 5)))
    assert not versions.note_unchanged(changed=6, until=20)
    assert versions.known == 5
    versions.take(page(put("b", 6)))
    assert versions.note_unchanged(changed=6, until=20)
    assert versions.known == 20


def test_the_number_of_recorded_removals_is_bounded():
    versions = ObjectVersions()
    for number in range(MOST_REMOVED + 10):
        versions.take(page(put(f"s{number}", 2 * number + 1)))
        versions.take(page(remove(f"s{number}", 2 * number + 2)))
    assert len(versions._removed) == MOST_REMOVED


CHANGES = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12)


@given(changes=CHANGES, order=st.randoms(use_true_random=False))
def test_the_newest_entries_result_from_any_order_of_pages(changes, order):
    """Every page contains all changes from the start up to its version, as after lost pages."""
    items = [
        put(name, version) if is_put else remove(name, version)
        for version, (name, is_put) in enumerate(changes, start=1)
    ]
    pages = [page(*items[:end]) for end in range(1, len(items) + 1)]
    order.shuffle(pages)
    versions, believed = ObjectVersions(), {}
    for one in pages:
        for item in versions.take(one).items:
            if item.deleted:
                believed.pop(item.name, None)
            else:
                believed[item.name] = item.version
    truth = {}
    for item in items:
        if item.deleted:
            truth.pop(item.name, None)
        else:
            truth[item.name] = item.version
    assert believed == truth
    assert versions.known == len(items)
