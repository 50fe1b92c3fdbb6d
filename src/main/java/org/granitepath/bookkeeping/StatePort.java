package org.granitepath.bookkeeping;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The state service as the decision code sees it. Every call answers exactly once, later, on the event loop. */
public interface StatePort {

    /** How a call ended. {@code UNKNOWN}: no answer, so it may have been carried out, or may yet be. */
    enum Outcome {
        OK,
        CONFLICT,
        NOT_FOUND,
        GONE,
        REFUSED,
        UNKNOWN
    }

    record Guard(String key, long stamp) {}

    /** A write, or a removal when {@code record} is null. {@code lease} 0: attached to none. */
    record Change(String key, StoredRecord record, long lease) {
        public static Change write(String key, StoredRecord record) {
            return new Change(key, record, 0);
        }

        public static Change remove(String key) {
            return new Change(key, null, 0);
        }
    }

    record Txn(List<Guard> guards, List<Change> changes) {}

    record Committed(Outcome outcome, long epoch, List<String> failed) {}

    /** One key as read or followed; {@code value} null: removed. */
    record Item(String key, Map<String, Object> value, long stamp) {}

    record Page(Outcome outcome, List<Item> items, boolean more, long epoch) {}

    record Leased(Outcome outcome, long lease) {}

    void commit(Txn txn, Consumer<Committed> then);

    void list(String prefix, String from, int limit, Consumer<Page> then);

    void follow(String prefix, long from, long waitMicros, Consumer<Page> then);

    void openLease(long lifeMicros, Consumer<Leased> then);

    void renewLease(long lease, Consumer<Outcome> then);
}
