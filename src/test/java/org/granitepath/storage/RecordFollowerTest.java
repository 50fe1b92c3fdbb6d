package org.granitepath.storage;

import static org.granitepath.storage.ReplicaFixture.SPACING_MICROS;
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

/** The follower sends long polls for the changes of records, and causes a reload if changes are missing. */
class RecordFollowerTest {
    private static final String KEY = "g/test/1";
    private static final long LONG_POLL_MICROS = 20_000_000;
    private static final long RETRY_DELAY_MICROS = 400_000;

    private final ReplicaFixture replica = new ReplicaFixture();
    private final ReadBarrier barrier =
            new ReadBarrier(replica.store, replica.timers, SPACING_MICROS, replica.position);
    private int reloads;
    private final RecordFollower follower = new RecordFollower(
            replica.store, replica.timers, SPACING_MICROS, replica.position, barrier, () -> reloads++);

    private void answerFollow(KeyValueStore.Page page) {
        replica.store.follows.remove().answer().accept(page);
    }

    @Test
    void aPollWaitsForChangesAfterTheKnownRevision() {
        replica.following(7);
        follower.follow();
        ScriptedStore.Follow follow = replica.store.follows.remove();
        assertEquals(7, follow.afterRevision());
        assertEquals(LONG_POLL_MICROS, follow.waitMicros());
    }

    @Test
    void noPollIsSentBeforeTheRecordsAreLoaded() {
        follower.follow();
        replica.timers.advance(LONG_POLL_MICROS);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void changesAreAppliedAndTheNextPollIsSentAfterTheSpacing() {
        replica.following(7);
        follower.follow();
        answerFollow(page(9, written(KEY, 8), removed(KEY, 9)));
        assertEquals(List.of(KEY + "@8", "-" + KEY + "@9"), replica.changes);
        replica.timers.advance(SPACING_MICROS - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        assertEquals(9, replica.store.follows.remove().afterRevision());
    }

    @Test
    void lastContactIsTheTimeWhenThePollWasSent() {
        replica.following(7);
        replica.timers.advance(SPACING_MICROS);
        long sentMicros = replica.timers.nowMicros();
        follower.follow();
        replica.timers.advance(LONG_POLL_MICROS);
        answerFollow(page(7));
        assertEquals(sentMicros, replica.position.lastContactMicros());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"OK", "GONE"})
    void aFailedPollIsSentAgainAfterTheRetryDelay(Outcome outcome) {
        replica.following(7);
        follower.follow();
        answerFollow(failed(outcome));
        replica.timers.advance(RETRY_DELAY_MICROS - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        assertEquals(7, replica.store.follows.remove().afterRevision());
        assertEquals(0, reloads);
    }

    @Test
    void changesThatAreNoLongerKeptCauseAReload() {
        replica.following(7);
        follower.follow();
        answerFollow(failed(Outcome.GONE));
        assertEquals(1, reloads);
        replica.timers.advance(LONG_POLL_MICROS);
        assertTrue(replica.store.follows.isEmpty(), "no poll is sent until the load is complete");
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"OK", "GONE", "UNKNOWN"})
    void anAnswerDuringALoadIsIgnored(Outcome outcome) {
        replica.following(7);
        follower.follow();
        replica.position.startLoading();
        answerFollow(new KeyValueStore.Page(outcome, List.of(written(KEY, 8)), false, 9));
        replica.timers.advance(LONG_POLL_MICROS);
        assertEquals(List.of(), replica.changes);
        assertEquals(0, reloads);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void noPollIsSentSoonAfterABarrier() {
        replica.following(7);
        barrier.request(upToDate -> {});
        answerFollow(page(7));
        follower.follow();
        replica.timers.advance(3 * SPACING_MICROS - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        assertEquals(LONG_POLL_MICROS, replica.store.follows.remove().waitMicros());
    }
}
