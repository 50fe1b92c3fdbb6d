package org.granitepath.storage;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** A store that keeps the requests that it receives, in order, until the test answers them. */
public final class ScriptedStore implements KeyValueStore {
    /** A request for a listing. */
    public record Listing(String afterKey, Consumer<Page> answer) {}

    /** A request to follow changes. */
    public record Follow(long afterRevision, long waitMicros, Consumer<Page> answer) {}

    /** A transaction that was sent. */
    public record Commit(Transaction transaction, Consumer<CommitResult> answer) {}

    /** A renewal of a lease that was sent. */
    public record Renewal(long leaseId, Consumer<Outcome> answer) {}

    /** Listings that the test has not taken yet. */
    public final Queue<Listing> listings = new ArrayDeque<>();
    /** Follows that the test has not taken yet. */
    public final Queue<Follow> follows = new ArrayDeque<>();
    /** Transactions that the test has not taken yet. */
    public final Queue<Commit> commits = new ArrayDeque<>();
    /** Renewals that the test has not taken yet. */
    public final Queue<Renewal> renewals = new ArrayDeque<>();

    @Override
    public void list(String prefix, String afterKey, int limit, Consumer<Page> callback) {
        listings.add(new Listing(afterKey, callback));
    }

    @Override
    public void follow(String prefix, long afterRevision, long waitMicros, Consumer<Page> callback) {
        follows.add(new Follow(afterRevision, waitMicros, callback));
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        commits.add(new Commit(transaction, callback));
    }

    @Override
    public void openLease(long ttlMicros, Consumer<LeaseResult> callback) {
        throw new UnsupportedOperationException("this store does not open leases");
    }

    @Override
    public void renewLease(long leaseId, Consumer<Outcome> callback) {
        renewals.add(new Renewal(leaseId, callback));
    }
}
