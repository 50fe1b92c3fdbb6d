package org.granitepath.storage;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** A store that keeps what it is asked, in order, until the test answers it. */
public final class ScriptedStore implements KeyValueStore {
    /** A listing that was asked for. */
    public record Listing(String afterKey, Consumer<Page> answer) {}

    /** A follow that was asked for. */
    public record Follow(long afterRevision, long waitMicros, Consumer<Page> answer) {}

    /** A transaction that was sent. */
    public record Commit(Transaction transaction, Consumer<CommitResult> answer) {}

    /** A renewal that was sent. */
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
    public void list(String prefix, String from, int limit, Consumer<Page> then) {
        listings.add(new Listing(from, then));
    }

    @Override
    public void follow(String prefix, long from, long waitMicros, Consumer<Page> then) {
        follows.add(new Follow(from, waitMicros, then));
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> then) {
        commits.add(new Commit(transaction, then));
    }

    @Override
    public void openLease(long lifeMicros, Consumer<LeaseResult> then) {
        throw new UnsupportedOperationException("no test opens a lease here");
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> then) {
        renewals.add(new Renewal(lease, then));
    }
}
