package org.granitepath.storage;

import java.util.HashSet;
import java.util.Set;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;

/** Reads all records, page by page. One load is under way at a time. */
final class RecordLoader {
    private static final long RETRY_MICROS = 400_000;
    private static final int PAGE = 500;

    /** Told once all records have been read. */
    interface Completion {
        /**
         * All records have been read.
         *
         * @param revision that of the first page: later changes may or may not have been seen
         */
        void loaded(long revision, long lastRequestMicros);
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

    /** Begins to read all records. The one before must be complete. */
    void load() {
        new Load().requestPage("");
    }

    /** One reading of all records: what was listed so far, and as of when. */
    private final class Load {
        private final Set<String> listed = new HashSet<>();
        /** That of the first page; 0 until it has come. */
        private long loadRevision;

        private void requestPage(String from) {
            long sentMicros = timers.nowMicros();
            store.list(Keys.ROOT_PREFIX, from, PAGE, page -> {
                if (page.outcome() == Outcome.OK) {
                    takePage(page, from, sentMicros);
                } else {
                    timers.after(RETRY_MICROS, () -> requestPage(from));
                }
            });
        }

        private void takePage(Page page, String from, long sentMicros) {
            if (loadRevision == 0) {
                loadRevision = page.storeRevision();
            }
            String last = from;
            for (Item item : page.items()) {
                listed.add(item.key());
                records.apply(item);
                last = item.key();
            }
            if (page.hasMore()) {
                requestPage(last);
                return;
            }
            records.removeAllBut(listed, loadRevision);
            completion.loaded(loadRevision, sentMicros);
        }
    }
}
