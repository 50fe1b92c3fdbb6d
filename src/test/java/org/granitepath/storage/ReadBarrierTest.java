package org.granitepath.storage;

import static org.granitepath.storage.ReplicaFixture.SPACING_MICROS;
import static org.granitepath.storage.ReplicaFixture.failed;
import static org.granitepath.storage.ReplicaFixture.page;
import static org.granitepath.storage.ReplicaFixture.written;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A read barrier succeeds only once the replica includes everything committed before the request. */
class ReadBarrierTest {
    private static final String KEY = "g/test/1";

    private final ReplicaFixture replica = new ReplicaFixture();
    private final ReadBarrier barrier =
            new ReadBarrier(replica.store, replica.timers, SPACING_MICROS, replica.position);
    /** The name of each request with its result, in the order in which the callbacks ran. */
    private final List<String> results = new ArrayList<>();

    private void request(String name) {
        barrier.request(upToDate -> results.add(name + " " + upToDate));
    }

    private void answerFollow(KeyValueStore.Page page) {
        replica.store.follows.remove().answer().accept(page);
    }

    @Test
    void theBarrierFailsWhileRecordsAreLoaded() {
        request("a");
        assertEquals(List.of("a false"), results);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void theBarrierFollowsFromTheKnownRevisionWithoutWaiting() {
        replica.following(7);
        request("a");
        ScriptedStore.Follow follow = replica.store.follows.remove();
        assertEquals(7, follow.afterRevision());
        assertEquals(0, follow.waitMicros());
        assertEquals(List.of(), results);
    }

    @Test
    void changesAreAppliedBeforeTheCallback() {
        replica.following(7);
        barrier.request(upToDate -> results.add(upToDate + " " + replica.records.has(KEY)));
        answerFollow(page(9, written(KEY, 8)));
        assertEquals(List.of("true true"), results);
        assertEquals(9, replica.position.storeRevision());
    }

    @Test
    void lastContactIsTheTimeWhenTheFollowWasSent() {
        replica.following(7);
        replica.timers.advance(5 * SPACING_MICROS);
        long sentMicros = replica.timers.nowMicros();
        request("a");
        replica.timers.advance(3 * SPACING_MICROS);
        answerFollow(page(7));
        assertEquals(sentMicros, barrier.lastStartMicros());
        assertEquals(sentMicros, replica.position.lastContactMicros());
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class, mode = EnumSource.Mode.EXCLUDE, names = "OK")
    void theBarrierFailsUnlessTheStoreAnswersOk(Outcome outcome) {
        replica.following(7);
        request("a");
        answerFollow(failed(outcome));
        assertEquals(List.of("a false"), results);
        assertEquals(7, replica.position.storeRevision());
    }

    @Test
    void theBarrierFailsIfALoadStartsBeforeItsAnswer() {
        replica.following(7);
        request("a");
        replica.position.startLoading();
        answerFollow(page(9, written(KEY, 8)));
        assertEquals(List.of("a false"), results);
        assertEquals(List.of(), replica.changes, "the load reads the change");
    }

    @Test
    void requestsDuringABarrierShareTheNextOne() {
        replica.following(7);
        request("a");
        request("b");
        request("c");
        replica.timers.advance(2 * SPACING_MICROS);
        assertEquals(1, replica.store.follows.size(), "the running barrier started before the later requests arrived");
        answerFollow(page(7));
        assertEquals(List.of("a true"), results);
        answerFollow(page(8));
        assertEquals(List.of("a true", "b true", "c true"), results);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void theNextBarrierStartsOnlyAfterTheSpacing() {
        replica.following(7);
        request("a");
        answerFollow(page(7));
        request("b");
        request("c");
        replica.timers.advance(SPACING_MICROS - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        answerFollow(page(7));
        assertEquals(List.of("a true", "b true", "c true"), results);
    }
}
