package org.granitepath.storage;

import static org.granitepath.storage.ReplicaFixture.SPACING;
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

class ReadBarrierTest {
    private static final String KEY = "g/test/1";

    private final ReplicaFixture replica = new ReplicaFixture();
    private final ReadBarrier barrier = new ReadBarrier(replica.store, replica.timers, SPACING, replica.position);
    /** The question and its answer, in the order in which answers came. */
    private final List<String> answers = new ArrayList<>();

    private void request(String question) {
        barrier.request(fresh -> answers.add(question + " " + fresh));
    }

    private void answer(KeyValueStore.Page page) {
        replica.store.follows.remove().answer().accept(page);
    }

    @Test
    void whileRecordsAreLoadedItCanNotBeHad() {
        request("a");
        assertEquals(List.of("a false"), answers);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void itIsAFollowWithoutWaitFromTheKnownRevision() {
        replica.following(7);
        request("a");
        ScriptedStore.Follow follow = replica.store.follows.remove();
        assertEquals(7, follow.afterRevision());
        assertEquals(0, follow.waitMicros());
        assertEquals(List.of(), answers);
    }

    @Test
    void changesAreInTheReplicaBeforeTheAnswer() {
        replica.following(7);
        barrier.request(fresh -> answers.add(fresh + " " + replica.records.has(KEY)));
        answer(page(9, written(KEY, 8)));
        assertEquals(List.of("true true"), answers);
        assertEquals(9, replica.position.storeRevision());
    }

    @Test
    void contactCountsFromWhenTheFollowWasSent() {
        replica.following(7);
        replica.timers.advance(5 * SPACING);
        long sentMicros = replica.timers.nowMicros();
        request("a");
        replica.timers.advance(3 * SPACING);
        answer(page(7));
        assertEquals(sentMicros, barrier.lastBegunMicros());
        assertEquals(sentMicros, replica.position.lastContactMicros());
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class, mode = EnumSource.Mode.EXCLUDE, names = "OK")
    void withoutAnAnswerFromTheStoreItFails(Outcome outcome) {
        replica.following(7);
        request("a");
        answer(failed(outcome));
        assertEquals(List.of("a false"), answers);
        assertEquals(7, replica.position.storeRevision());
    }

    @Test
    void itFailsWhenALoadHasBegunMeanwhile() {
        replica.following(7);
        request("a");
        replica.position.loading();
        answer(page(9, written(KEY, 8)));
        assertEquals(List.of("a false"), answers);
        assertEquals(List.of(), replica.changes, "the load brings it");
    }

    @Test
    void questionsDuringABarrierShareTheNext() {
        replica.following(7);
        request("a");
        request("b");
        request("c");
        replica.timers.advance(2 * SPACING);
        assertEquals(1, replica.store.follows.size(), "what is under way began before the questions came");
        answer(page(7));
        assertEquals(List.of("a true"), answers);
        answer(page(8));
        assertEquals(List.of("a true", "b true", "c true"), answers);
        assertTrue(replica.store.follows.isEmpty());
    }

    @Test
    void theNextBeginsOnlyAfterTheSpacing() {
        replica.following(7);
        request("a");
        answer(page(7));
        request("b");
        request("c");
        replica.timers.advance(SPACING - 1);
        assertTrue(replica.store.follows.isEmpty());
        replica.timers.advance(1);
        answer(page(7));
        assertEquals(List.of("a true", "b true", "c true"), answers);
    }
}
