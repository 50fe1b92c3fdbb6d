package org.granitepath.simulation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.CommitResult;
import org.granitepath.storage.KeyValueStore.LeaseResult;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.Keys;

/** A simulated key-value store with rate and size limits, injected faults, and counters of its requests. */
final class SimStore {
    static final String NAME = "state";
    private static final long EXPIRY_INTERVAL_MICROS = 50_000;

    private final SimEnvironment environment;
    private final SimStoreKeys keys = new SimStoreKeys();
    private final SimLeases leases = new SimLeases();
    private final SimWatches watches;
    private final SimRateLimiter rateLimiter;
    private final Set<String> refusedNodes = new HashSet<>();
    private final Set<String> nodesWithoutReads = new HashSet<>();
    private final Set<String> readOnlyNodes = new HashSet<>();
    private TransactionLimits limits;
    private boolean outageActive;

    /** Probability that a transaction gets no answer and is applied 2 to 12 s later, after newer ones. */
    double lateCommitShare;

    private int lateCommitCount;
    private int oversizedTransactionCount;
    private int unfencedAcceptanceCount;
    private int followRequestCount;
    private int requestCount;
    private int rateLimitedRequestCount;
    private int changeCount;

    SimStore(
            SimEnvironment environment,
            int transactionChanges,
            int valueBytes,
            double requestsPerSecond,
            double writesPerSecond) {
        this.environment = environment;
        this.watches = new SimWatches(environment, keys);
        this.rateLimiter = new SimRateLimiter(requestsPerSecond, writesPerSecond);
        this.limits = new TransactionLimits(transactionChanges, valueBytes);
        environment.after(EXPIRY_INTERVAL_MICROS, this::expireLeases);
    }

    /** The connection of a node to this store. */
    KeyValueStore portFor(String node) {
        return new SimStorePort(environment, this, node);
    }

    /** Lowers the limits without notice; stored values that exceed them stay readable. */
    void lowerLimits(StoreLimits next) {
        limits = new TransactionLimits(next.transactionChanges(), next.valueBytes());
        rateLimiter.setWritesPerSecond(next.writesPerSecond());
    }

    /** Refuses all requests for a while. Leases do not expire meanwhile and are renewed at the end. */
    void startOutage(long durationMicros) {
        setOutage(true);
        environment.after(durationMicros, () -> setOutage(false));
    }

    private void setOutage(boolean active) {
        if (outageActive && !active) {
            leases.renewAll(environment.nowMicros());
        }
        outageActive = active;
        watches.notifyWatches();
    }

    /** Refuses all requests of one node for a while. */
    void refuseRequestsOf(String node, long durationMicros) {
        refusedNodes.add(node);
        watches.notifyWatches();
        environment.after(durationMicros, () -> {
            refusedNodes.remove(node);
            watches.notifyWatches();
        });
    }

    /** Refuses the transactions of one node for a while and serves its other requests. */
    void refuseWritesOf(String node, long durationMicros) {
        readOnlyNodes.add(node);
        environment.after(durationMicros, () -> readOnlyNodes.remove(node));
    }

    /** Leaves the follow requests of one node unanswered for a while and serves its other requests. */
    void dropReadsOf(String node, long durationMicros) {
        nodesWithoutReads.add(node);
        environment.after(durationMicros, () -> nodesWithoutReads.remove(node));
    }

    /** Writes a value as a client other than the controllers. */
    void writeExternally(String key, String json) {
        keys.writeExternally(key, json);
        watches.notifyWatches();
    }

    /** Whether the value of the key is exactly this JSON text. */
    boolean hasValue(String key, String json) {
        return keys.hasValue(key, json);
    }

    /** How many changes transactions have made to a key so far. */
    int writeCount(String key) {
        return keys.writeCount(key);
    }

    /** The length of the largest stored value in characters; 0 if there is none. */
    int largestValueLength() {
        return keys.largestValueLength();
    }

    /** How many late transactions (see {@link #lateCommitShare}) were applied successfully. */
    int lateCommitCount() {
        return lateCommitCount;
    }

    /** How many transactions exceeded a size limit. */
    int oversizedTransactionCount() {
        return oversizedTransactionCount;
    }

    /**
     * How many transactions wrote a job without a precondition on the leader key. Without it, an acceptance would
     * succeed whichever controller leads by then.
     */
    int unfencedAcceptanceCount() {
        return unfencedAcceptanceCount;
    }

    /** How many follow requests were sent, long polls included, whether they arrived or not. */
    int followRequestCount() {
        return followRequestCount;
    }

    /** How many requests have arrived, except the follow requests that {@link #dropReadsOf} leaves unanswered. */
    int requestCount() {
        return requestCount;
    }

    /** How many requests were refused because they exceeded the rate limits. */
    int rateLimitedRequestCount() {
        return rateLimitedRequestCount;
    }

    /** How many changes transactions have made so far. */
    int changeCount() {
        return changeCount;
    }

    /** Counts a follow request when it is sent, whether it arrives or not. */
    void countFollowRequest() {
        followRequestCount++;
    }

    void commit(String node, Transaction transaction, Consumer<CommitResult> answer) {
        if (refuseIfUnavailable(node, transaction.changes().size()) || readOnlyNodes.contains(node)) {
            answer.accept(new CommitResult(Outcome.REFUSED, 0, List.of()));
        } else if (lateCommitShare > 0 && environment.random.nextDouble() < lateCommitShare) {
            environment.after(2_000_000 + environment.random.nextInt(10_000_000), () -> commitLate(transaction));
        } else {
            answer.accept(commit(transaction));
        }
    }

    Page list(String node, String prefix, String from, int limit) {
        return refuseIfUnavailable(node, 0) ? refusedPage() : keys.list(prefix, from, limit);
    }

    void follow(String node, String prefix, long from, long waitMicros, Consumer<Page> answer) {
        if (nodesWithoutReads.contains(node)) {
            return;
        }
        if (refuseIfUnavailable(node, 0)) {
            answer.accept(refusedPage());
            return;
        }
        watches.follow(prefix, from, waitMicros, answer);
    }

    LeaseResult openLease(String node, long leaseMicros) {
        return refuseIfUnavailable(node, 0)
                ? new LeaseResult(Outcome.REFUSED, 0)
                : new LeaseResult(Outcome.OK, leases.open(environment.nowMicros(), leaseMicros));
    }

    Outcome renewLease(String node, long lease) {
        if (refuseIfUnavailable(node, 0)) {
            return Outcome.REFUSED;
        }
        if (!leases.exists(lease)) {
            return Outcome.NOT_FOUND;
        }
        leases.renew(lease, environment.nowMicros());
        return Outcome.OK;
    }

    private static Page refusedPage() {
        return new Page(Outcome.REFUSED, List.of(), false, 0);
    }

    /** Counts the request. Returns whether it is refused because of its rate, an outage or a fault of this node. */
    private boolean refuseIfUnavailable(String node, int changes) {
        requestCount++;
        boolean tooFast = !rateLimiter.tryAcquire(environment.nowMicros(), changes);
        rateLimitedRequestCount += tooFast ? 1 : 0;
        return tooFast || outageActive || refusedNodes.contains(node);
    }

    private void commitLate(Transaction transaction) {
        if (!outageActive && commit(transaction).outcome() == Outcome.OK) {
            lateCommitCount++;
        }
    }

    private CommitResult commit(Transaction transaction) {
        if (limits.isExceededBy(transaction)) {
            oversizedTransactionCount++;
            return committed(Outcome.INVALID, List.of());
        }
        if (acceptsJob(transaction) && !requiresLeaderKey(transaction)) {
            unfencedAcceptanceCount++;
        }
        List<String> failed = transaction.preconditions().stream()
                .filter(precondition -> keys.revisionOf(precondition.key()) != precondition.revision())
                .map(KeyValueStore.Precondition::key)
                .toList();
        if (!failed.isEmpty()) {
            return committed(Outcome.CONFLICT, failed);
        }
        if (transaction.changes().stream()
                .anyMatch(change -> change.leaseId() != 0 && !leases.exists(change.leaseId()))) {
            return committed(Outcome.REFUSED, List.of());
        }
        keys.apply(transaction.changes());
        changeCount += transaction.changes().size();
        watches.notifyWatches();
        return committed(Outcome.OK, List.of());
    }

    private static boolean acceptsJob(Transaction transaction) {
        return transaction.changes().stream().anyMatch(change -> change.key().startsWith(Keys.JOB_PREFIX));
    }

    private static boolean requiresLeaderKey(Transaction transaction) {
        return transaction.preconditions().stream()
                .anyMatch(precondition -> precondition.key().equals(Keys.LEADER));
    }

    private CommitResult committed(Outcome outcome, List<String> failed) {
        return new CommitResult(outcome, keys.revision(), failed);
    }

    private void expireLeases() {
        environment.after(EXPIRY_INTERVAL_MICROS, this::expireLeases);
        if (outageActive) {
            return;
        }
        leases.removeExpired(environment.nowMicros()).forEach(keys::removeKeysOfLease);
        watches.notifyWatches();
    }
}
