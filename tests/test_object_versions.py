"""Recorded object versions, for pages that arrive by several paths and overtake one another."""

from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.process.gateway.object_versions import MAX_RECORDED_REMOVALS, ObjectVersions


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
    assert names(versions.apply(page(put("a", 9, "leaving")))) == ["a"]
    assert names(versions.apply(page(put("a", 7), put("b", 8)))) == ["b"]
    assert versions.complete_version == 9


def test_an_older_page_does_not_restore_a_removed_entry():
    versions = ObjectVersions()
    versions.apply(page(put("a", 5)))
    assert names(versions.apply(page(remove("a", 8)))) == ["a"]
    assert names(versions.apply(page(put("a", 5), put("a", 7)))) == []
    assert names(versions.apply(page(put("a", 9)))) == ["a"]


def test_a_removal_may_have_the_version_of_the_last_change():
    versions = ObjectVersions()
    versions.apply(page(put("a", 5)))
    assert names(versions.apply(page(remove("a", 5), version=8))) == ["a"]
    assert versions.changed_version == 8, "the removal was at 8 or before"


def test_a_list_removes_missing_objects_and_an_older_list_none():
    versions = ObjectVersions()
    versions.apply(page(put("a", 5), put("b", 6)))
    assert versions.apply(page(put("b", 6), version=9, is_whole=True)).is_whole
    older = versions.apply(page(put("a", 5), put("b", 6), version=7, is_whole=True))
    assert not older.is_whole and not older.items
    assert names(versions.apply(page(put("a", 8)))) == [], "the list showed its removal"


def test_a_confirmation_applies_once_the_last_change_is_recorded():
    versions = ObjectVersions()
    versions.apply(page(put("a", 5)))
    assert not versions.record_unchanged(changed=6, until=20)
    assert versions.complete_version == 5
    versions.apply(page(put("b", 6)))
    assert versions.record_unchanged(changed=6, until=20)
    assert versions.complete_version == 20


def test_the_number_of_recorded_removals_is_bounded():
    versions = ObjectVersions()
    for number in range(MAX_RECORDED_REMOVALS + 10):
        versions.apply(page(put(f"s{number}", 2 * number + 1)))
        versions.apply(page(remove(f"s{number}", 2 * number + 2)))
    assert len(versions._removed) == MAX_RECORDED_REMOVALS


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
        for item in versions.apply(one).items:
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
    assert versions.complete_version == len(items)
