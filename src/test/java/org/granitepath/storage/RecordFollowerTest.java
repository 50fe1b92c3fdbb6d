package org.granitepath.storage;

import static org.granitepath.storage.ReplicaFixture.SPACING;
import static org.granitepath.storage.ReplicaFixture.failed;
import static org.granitepath.storage.ReplicaFixture.page;
import static org.granitepath.storage.ReplicaFixture.removed;
import static org.granitepath.storage.ReplicaFixture.written;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RecordFollowerTest {
    private static final String KEY = "g/test/1";
    private static final long LONG_POLL = 20_000_000;
    private static final long RETRY = 400_000;

    private final ReplicaFixture replica = new ReplicaFixture();
    private final ReadBarrier barrier = new ReadBarrier(replica.store, replica.timers, SPACING, replica.position);
    private int reloads;
    private final RecordFollower follower =
            new RecordFollower(replica.store, replica.timers, SPACING, replica.position, barrier, () -> reloads++);

    private void answer(KeyValueStore.Page page) {
        replica.store.follows.remove().answer().accept(page);
    }

    @Test
    void itWaitsForChangesAfterTheKnownRevision() {
        replica.following(7);
        follower.follow();
        ScriptedStore.Follow follow = replica.store.follows.remove();
        assertEquals(7, follow.afterRevision());
        assertEquals(LONG_POLL, follow.waitMicros());
    }

    @Test
    void itDoesNothingBeforeTheRecordsAreLoaded() {
        follower.follow();
        replica.timers.advance(LONG_POLL);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void changesAreTakenInAndTheNextPollComesAfterTheSpacing() {
        replica.following(7);
        follower.follow();
        answer(page(9, written(KEY, 8), removed(KEY, 9)));
        assertEquals(List.of(KEY + "@8", "-" + KEY + "@9"), replica.changes);
        replica.timers.advance(SPACING - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        assertEquals(9, replica.store.follows.remove().afterRevision());
    }

    @Test
    void contactCountsFromWhenThePollWasSent() {
        replica.following(7);
        replica.timers.advance(SPACING);
        long sentMicros = replica.timers.nowMicros();
        follower.follow();
        replica.timers.advance(LONG_POLL);
        answer(page(7));
        assertEquals(sentMicros, replica.position.lastContactMicros());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"OK", "GONE"})
    void aPollWithoutAnAnswerIsSentAgainLater(Outcome outcome) {
        replica.following(7);
        follower.follow();
        answer(failed(outcome));
        replica.timers.advance(RETRY - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        assertEquals(7, replica.store.follows.remove().afterRevision());
        assertEquals(0, reloads);
    }

    @Test
    void changesThatAreNoLongerKeptCauseAReload() {
        replica.following(7);
        follower.follow();
        answer(failed(Outcome.GONE));
        assertEquals(1, reloads);
        replica.timers.advance(LONG_POLL);
        assertTrue(replica.store.follows.isEmpty(), "until the load is complete");
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"OK", "GONE", "UNKNOWN"})
    void anAnswerDuringALoadIsIgnored(Outcome outcome) {
        replica.following(7);
        follower.follow();
        replica.position.loading();
        answer(new KeyValueStore.Page(outcome, List.of(written(KEY, 8)), false, 9));
        replica.timers.advance(LONG_POLL);
        assertEquals(List.of(), replica.changes);
        assertEquals(0, reloads);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void noPollWaitsWhileBarriersFollowOneAnother() {
        replica.following(7);
        barrier.request(fresh -> {});
        answer(page(7));
        follower.follow();
        replica.timers.advance(3 * SPACING - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        assertEquals(LONG_POLL, replica.store.follows.remove().waitMicros());
    }
}
