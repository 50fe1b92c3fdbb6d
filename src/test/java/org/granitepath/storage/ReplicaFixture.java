package org.granitepath.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;

/** The parts of a replica, with a store that the test answers and a clock moved by hand. */
final class ReplicaFixture {
    static final long SPACING = 100_000;

    final ManualTimers timers = new ManualTimers();
    final ScriptedStore store = new ScriptedStore();
    /** What the listener was told: the key with the revision, and a minus in front of a removal. */
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

    /** All records have been read, as of this revision. */
    ReplicaFixture following(long revision) {
        position.loaded(revision, timers.nowMicros());
        return this;
    }

    static Item written(String key, long revision) {
        return new Item(key, Map.of("x", 1), revision);
    }

    static Item removed(String key, long revision) {
        return new Item(key, null, revision);
    }

    static Page page(long storeRevision, Item... items) {
        return new Page(Outcome.OK, List.of(items), false, storeRevision);
    }

    static Page pageBeforeOthers(long storeRevision, Item... items) {
        return new Page(Outcome.OK, List.of(items), true, storeRevision);
    }

    static Page failed(Outcome outcome) {
        return new Page(outcome, List.of(), false, 0);
    }
}
