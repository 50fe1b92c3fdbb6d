package org.granitepath.storage;

import java.util.HashSet;
import java.util.Set;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;

/** Reads all records, page by page. Only one load runs at a time. */
final class RecordLoader {
    private static final long RETRY_MICROS = 400_000;
    private static final int PAGE_SIZE = 500;

    /** Receives the end of a load. */
    interface Completion {
        /**
         * Called when all records have been read.
         *
         * @param revision the store's revision as of the first page; the load may have missed changes after it
         * @param lastRequestMicros when the last page was requested, in steady time
         */
        void onLoaded(long revision, long lastRequestMicros);
    }

    private final KeyValueStore store;
    private final Timers timers;
    private final ReplicaRecords records;
    private final Completion completion;

    RecordLoader(KeyValueStore store, Timers timers, ReplicaRecords records, Completion completion) {
        this.store = store;
        this.timers = timers;
        this.records = records;
        this.completion = completion;
    }

    /** Starts to read all records. An earlier load must be complete. */
    void load() {
        new Load().requestPage("");
    }

    /** One load of all records: the keys listed so far, and the revision of the load. */
    private final class Load {
        private final Set<String> listedKeys = new HashSet<>();
        /** The store's revision as of the first page; 0 until the first page has arrived. */
        private long loadRevision;

        private void requestPage(String afterKey) {
            long sentMicros = timers.nowMicros();
            store.list(Keys.ROOT_PREFIX, afterKey, PAGE_SIZE, page -> {
                if (page.outcome() == Outcome.OK) {
                    applyPage(page, afterKey, sentMicros);
                } else {
                    timers.after(RETRY_MICROS, () -> requestPage(afterKey));
                }
            });
        }

        private void applyPage(Page page, String afterKey, long sentMicros) {
            if (loadRevision == 0) {
                loadRevision = page.storeRevision();
            }
            String lastKey = afterKey;
            for (Item item : page.items()) {
                listedKeys.add(item.key());
                records.apply(item);
                lastKey = item.key();
            }
            if (page.hasMore()) {
                requestPage(lastKey);
                return;
            }
            records.removeAllExcept(listedKeys, loadRevision);
            completion.onLoaded(loadRevision, sentMicros);
        }
    }
}
