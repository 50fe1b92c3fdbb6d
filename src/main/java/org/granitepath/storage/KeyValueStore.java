package org.granitepath.storage;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The store that all controllers share, as the coordination code uses it. Every call invokes its callback exactly once,
 * later, on the event loop.
 */
public interface KeyValueStore {

    /** The outcome of a call. */
    enum Outcome {
        /** The store carried out the request. */
        OK,
        /** The store did not carry out the transaction because a precondition does not hold. */
        CONFLICT,
        /** The key or the lease does not exist. */
        NOT_FOUND,
        /** The store no longer keeps the requested changes. */
        GONE,
        /** The store did not carry out the request now; a later attempt may succeed. */
        REFUSED,
        /** The store did not carry out the request and never will as it stands. */
        INVALID,
        /** There was no answer: the store may have carried out the request or may still do so. */
        UNKNOWN
    }

    /** The condition that a key has this revision; revision 0 means that the key does not exist. */
    record Precondition(String key, long revision) {}

    /**
     * A write of a record, or a removal if {@code record} is null. With {@code leaseId} 0, the record is attached to no
     * lease.
     */
    record Change(String key, @Nullable StoredRecord record, long leaseId) {
        /** Returns a write of a record that is attached to no lease. */
        public static Change write(String key, StoredRecord record) {
            return new Change(key, record, 0);
        }

        /** Returns the removal of a record. */
        public static Change remove(String key) {
            return new Change(key, null, 0);
        }
    }

    /** Changes that are made all together if all preconditions hold, and otherwise not at all. */
    record Transaction(List<Precondition> preconditions, List<Change> changes) {}

    /** The result of a transaction: the store's new revision, or the keys whose preconditions do not hold. */
    record CommitResult(Outcome outcome, long storeRevision, List<String> failedKeys) {}

    /** A record as listed or followed; {@code value} is null if the record was removed. */
    record Item(String key, @Nullable Map<String, Object> value, long revision) {}

    /**
     * A page of records as listed or followed, as of the store's revision {@code storeRevision}. If {@code hasMore} is
     * true, a listing continues after the last item.
     */
    record Page(Outcome outcome, List<Item> items, boolean hasMore, long storeRevision) {}

    /** The result of opening a lease; {@code leaseId} is valid only if {@code outcome} is {@link Outcome#OK}. */
    record LeaseResult(Outcome outcome, long leaseId) {}

    /** Commits a transaction. */
    void commit(Transaction transaction, Consumer<CommitResult> callback);

    /**
     * Lists records in the order of their keys, beginning after the key {@code afterKey}.
     *
     * @param limit the largest number of records on the page
     */
    void list(String prefix, String afterKey, int limit, Consumer<Page> callback);

    /**
     * Waits for changes after a revision, and calls back with them.
     *
     * @param waitMicros the longest time to wait; 0 to call back at once
     */
    void follow(String prefix, long afterRevision, long waitMicros, Consumer<Page> callback);

    /** Opens a lease that ends unless it is renewed within {@code ttlMicros}. */
    void openLease(long ttlMicros, Consumer<LeaseResult> callback);

    /** Renews a lease. The outcome is {@link Outcome#NOT_FOUND} if the lease has ended. */
    void renewLease(long leaseId, Consumer<Outcome> callback);
}
