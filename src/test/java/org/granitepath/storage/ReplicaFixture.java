package org.granitepath.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;

/** The parts of a replica, with a store whose answers the test gives and a manual clock. */
final class ReplicaFixture {
    static final long SPACING_MICROS = 100_000;

    final ManualTimers timers = new ManualTimers();
    final ScriptedStore store = new ScriptedStore();
    /** The changes that the listener received, as key@revision; a removal starts with a minus sign. */
    final List<String> changes = new ArrayList<>();

    final ReplicaRecords records = new ReplicaRecords(new RecordReplica.Listener() {
        @Override
        public void onRecordChanged(String key, StoredRecord record, long revision) {
            changes.add((record == null ? "-" : "") + key + "@" + revision);
        }

        @Override
        public void onLoaded() {}
    });
    final ReplicaPosition position = new ReplicaPosition(records, timers.nowMicros());

    /** Marks all records as read, as of this revision. */
    ReplicaFixture following(long revision) {
        position.finishLoading(revision, timers.nowMicros());
        return this;
    }

    /** Returns a record as read from the store. */
    static Item written(String key, long revision) {
        return new Item(key, Map.of("x", 1), revision);
    }

    /** Returns the removal of a record as read from the store. */
    static Item removed(String key, long revision) {
        return new Item(key, null, revision);
    }

    /** Returns the last page of a successful listing, or a page of changes. */
    static Page page(long storeRevision, Item... items) {
        return new Page(Outcome.OK, List.of(items), false, storeRevision);
    }

    /** Returns a page of a successful listing that has more pages. */
    static Page pageBeforeOthers(long storeRevision, Item... items) {
        return new Page(Outcome.OK, List.of(items), true, storeRevision);
    }

    /** Returns the page of a failed request. */
    static Page failed(Outcome outcome) {
        return new Page(outcome, List.of(), false, 0);
    }
}
