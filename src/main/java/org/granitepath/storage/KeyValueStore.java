package org.granitepath.storage;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The store as the decision code sees it. Every call answers exactly once, later, on the event loop. */
public interface KeyValueStore {

    /** How a call ended. */
    enum Outcome {
        /** Carried out. */
        OK,
        /** Not carried out: a precondition does not hold. */
        CONFLICT,
        /** There is no such key or lease. */
        NOT_FOUND,
        /** The changes that were asked for are no longer kept. */
        GONE,
        /** Not carried out: not now. */
        REFUSED,
        /** Not carried out, and never will be as it stands. */
        INVALID,
        /** No answer, so it may have been carried out, or may yet be. */
        UNKNOWN
    }

    /** The condition that a key has this revision; 0: that it does not exist. */
    record Precondition(String key, long revision) {}

    /** A write, or a removal when {@code record} is null. {@code lease} 0: attached to none. */
    record Change(String key, @Nullable StoredRecord record, long leaseId) {
        /** A write of a record that belongs to no lease. */
        public static Change write(String key, StoredRecord record) {
            return new Change(key, record, 0);
        }

        /** A removal. */
        public static Change remove(String key) {
            return new Change(key, null, 0);
        }
    }

    /** Changes that are made together, if all preconditions hold, or not at all. */
    record Transaction(List<Precondition> preconditions, List<Change> changes) {}

    /** How a transaction ended: the new revision, or the keys whose preconditions do not hold. */
    record CommitResult(Outcome outcome, long storeRevision, List<String> failedKeys) {}

    /** One key as read or followed; {@code value} null: removed. */
    record Item(String key, @Nullable Map<String, Object> value, long revision) {}

    /** Records as listed or followed, as of the revision {@code storeRevision}. */
    record Page(Outcome outcome, List<Item> items, boolean hasMore, long storeRevision) {}

    /** A new lease, when {@code outcome} is OK. */
    record LeaseResult(Outcome outcome, long leaseId) {}

    /** Commits a transaction. */
    void commit(Transaction transaction, Consumer<CommitResult> then);

    /** Lists keys in order, beginning after {@code from}. */
    void list(String prefix, String from, int limit, Consumer<Page> then);

    /** Waits for changes after the revision {@code from}, for this long at most. */
    void follow(String prefix, long from, long waitMicros, Consumer<Page> then);

    /** Opens a lease. */
    void openLease(long lifeMicros, Consumer<LeaseResult> then);

    /** Renews a lease; {@code NOT_FOUND} when it has ended. */
    void renewLease(long lease, Consumer<Outcome> then);
}
