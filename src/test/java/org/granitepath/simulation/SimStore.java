package org.granitepath.simulation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Committed;
import org.granitepath.storage.KeyValueStore.Leased;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.Keys;

/** A stand-in for the store: what it serves and refuses, its limits, its troubles, and counts of what was asked. */
final class SimStore {
    static final String NAME = "state";
    private static final long EXPIRY_INTERVAL_MICROS = 50_000;

    private final SimEnvironment environment;
    private final SimStoreKeys keys = new SimStoreKeys();
    private final SimLeases leases = new SimLeases();
    private final SimWatches watches;
    private final SimRateLimiter rates;
    private final Set<String> refusedNodes = new HashSet<>();
    private final Set<String> nodesWithoutReads = new HashSet<>();
    private final Set<String> readOnlyNodes = new HashSet<>();
    private TransactionLimits limits;
    private boolean outageActive;

    /** Share of transactions that get no answer and are carried out seconds later, after newer ones. */
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
        this.rates = new SimRateLimiter(requestsPerSecond, writesPerSecond);
        this.limits = new TransactionLimits(transactionChanges, valueBytes);
        environment.after(EXPIRY_INTERVAL_MICROS, this::expireLeases);
    }

    /** The store as one node reaches it. */
    KeyValueStore portFor(String node) {
        return new SimStorePort(environment, this, node);
    }

    // ---- troubles ----------------------------------------------------------------------------------------------

    /** The limits change without notice; what is stored stays readable. */
    void lowerLimits(StoreLimits next) {
        limits = new TransactionLimits(next.transactionChanges(), next.valueBytes());
        rates.setWritesPerSecond(next.writesPerSecond());
    }

    /** Nobody is served, and no lease ends meanwhile. */
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

    /** This node alone is not served. */
    void refuseRequestsOf(String node, long durationMicros) {
        refusedNodes.add(node);
        watches.notifyWatches();
        environment.after(durationMicros, () -> {
            refusedNodes.remove(node);
            watches.notifyWatches();
        });
    }

    /** This node's transactions are refused, while all else of it is served. */
    void refuseWritesOf(String node, long durationMicros) {
        readOnlyNodes.add(node);
        environment.after(durationMicros, () -> readOnlyNodes.remove(node));
    }

    /** This node's reads get no answer, while all else does. */
    void dropReadsOf(String node, long durationMicros) {
        nodesWithoutReads.add(node);
        environment.after(durationMicros, () -> nodesWithoutReads.remove(node));
    }

    /** Someone else writes this value. */
    void writeExternally(String key, String json) {
        keys.writeExternally(key, json);
        watches.notifyWatches();
    }

    // ---- questions of scenarios --------------------------------------------------------------------------------

    /** Whether the value is still the one that was planted. */
    boolean hasValue(String key, String json) {
        return keys.hasValue(key, json);
    }

    /** Changes of a key so far. */
    int writeCount(String key) {
        return keys.writeCount(key);
    }

    /** The largest value that is stored. */
    int largestValueLength() {
        return keys.largestValueLength();
    }

    /** Transactions that changed something although they were carried out late. */
    int lateCommitCount() {
        return lateCommitCount;
    }

    /** Transactions over a limit. */
    int oversizedTransactionCount() {
        return oversizedTransactionCount;
    }

    /** Acceptances that would hold whoever the leader is by then. */
    int unfencedAcceptanceCount() {
        return unfencedAcceptanceCount;
    }

    /** Requests to follow changes, long polls included, whether they arrived or not. */
    int followRequestCount() {
        return followRequestCount;
    }

    /** All requests that arrived. */
    int requestCount() {
        return requestCount;
    }

    /** Requests that were refused because they came too fast. */
    int rateLimitedRequestCount() {
        return rateLimitedRequestCount;
    }

    /** Changes made so far. */
    int changeCount() {
        return changeCount;
    }

    // ---- requests of nodes -------------------------------------------------------------------------------------

    /** A request to read is sent, whether it arrives or not. */
    void countFollowRequest() {
        followRequestCount++;
    }

    void commit(String node, Transaction transaction, Consumer<Committed> answer) {
        if (refuseIfUnavailable(node, transaction.changes().size()) || readOnlyNodes.contains(node)) {
            answer.accept(new Committed(Outcome.REFUSED, 0, List.of()));
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

    Leased openLease(String node, long leaseMicros) {
        return refuseIfUnavailable(node, 0)
                ? new Leased(Outcome.REFUSED, 0)
                : new Leased(Outcome.OK, leases.open(environment.nowMicros(), leaseMicros));
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

    /** Whether this request is not carried out: the store is away, or asked for too much. */
    private boolean refuseIfUnavailable(String node, int changes) {
        requestCount++;
        boolean tooFast = !rates.tryAcquire(environment.nowMicros(), changes);
        rateLimitedRequestCount += tooFast ? 1 : 0;
        return tooFast || outageActive || refusedNodes.contains(node);
    }

    // ---- transactions and leases -------------------------------------------------------------------------------

    private void commitLate(Transaction transaction) {
        if (!outageActive && commit(transaction).outcome() == Outcome.OK) {
            lateCommitCount++;
        }
    }

    private Committed commit(Transaction transaction) {
        if (limits.isExceededBy(transaction)) {
            oversizedTransactionCount++;
            return committed(Outcome.REJECTED, List.of());
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
        if (transaction.changes().stream().anyMatch(change -> change.lease() != 0 && !leases.exists(change.lease()))) {
            return committed(Outcome.REFUSED, List.of());
        }
        keys.apply(transaction.changes());
        changeCount += transaction.changes().size();
        watches.notifyWatches();
        return committed(Outcome.OK, List.of());
    }

    private static boolean acceptsJob(Transaction transaction) {
        return transaction.changes().stream().anyMatch(change -> change.key().startsWith(Keys.JOB));
    }

    private static boolean requiresLeaderKey(Transaction transaction) {
        return transaction.preconditions().stream()
                .anyMatch(precondition -> precondition.key().equals(Keys.LEADER));
    }

    private Committed committed(Outcome outcome, List<String> failed) {
        return new Committed(outcome, keys.revision(), failed);
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
