package org.granitepath.simulation;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.granitepath.storage.KeyValueStore;

/** The connection of one controller to the simulated store, over the simulated network. */
final class SimStorePort implements KeyValueStore {
    private static final long TIMEOUT_MICROS = 2_000_000;
    private static final CommitResult UNKNOWN_COMMIT = new CommitResult(Outcome.UNKNOWN, 0, List.of());
    private static final Page UNKNOWN_PAGE = new Page(Outcome.UNKNOWN, List.of(), false, 0);
    private static final LeaseResult UNKNOWN_LEASE = new LeaseResult(Outcome.UNKNOWN, 0);

    private final SimEnvironment environment;
    private final SimStore store;
    private final String node;

    SimStorePort(SimEnvironment environment, SimStore store, String node) {
        this.environment = environment;
        this.store = store;
        this.node = node;
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> then) {
        callLater(TIMEOUT_MICROS, answer -> store.commit(node, transaction, answer), UNKNOWN_COMMIT, then);
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<Page> then) {
        call(TIMEOUT_MICROS, () -> store.list(node, prefix, from, limit), UNKNOWN_PAGE, then);
    }

    @Override
    public void follow(String prefix, long from, long waitMicros, Consumer<Page> then) {
        store.countFollowRequest();
        callLater(
                TIMEOUT_MICROS + waitMicros,
                answer -> store.follow(node, prefix, from, waitMicros, answer),
                UNKNOWN_PAGE,
                then);
    }

    @Override
    public void openLease(long leaseMicros, Consumer<LeaseResult> then) {
        call(TIMEOUT_MICROS, () -> store.openLease(node, leaseMicros), UNKNOWN_LEASE, then);
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> then) {
        call(TIMEOUT_MICROS / 2, () -> store.renewLease(node, lease), Outcome.UNKNOWN, then);
    }

    private <T> void call(long timeoutMicros, Supplier<T> serve, T unanswered, Consumer<T> then) {
        callLater(timeoutMicros, answer -> answer.accept(serve.get()), unanswered, then);
    }

    private <T> void callLater(long timeoutMicros, Consumer<Consumer<T>> serve, T unanswered, Consumer<T> then) {
        environment.<T>callAsync(
                node, SimStore.NAME, timeoutMicros, serve, answer -> then.accept(answer == null ? unanswered : answer));
    }
}
