package org.granitepath.storage;

import static org.granitepath.storage.ReplicaFixture.failed;
import static org.granitepath.storage.ReplicaFixture.page;
import static org.granitepath.storage.ReplicaFixture.pageBeforeOthers;
import static org.granitepath.storage.ReplicaFixture.written;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RecordLoaderTest {
    private static final long RETRY = 400_000;

    private record Loaded(long revision, long lastRequestMicros) {}

    private final ReplicaFixture replica = new ReplicaFixture();
    private final List<Loaded> completions = new ArrayList<>();
    private final RecordLoader loader = new RecordLoader(
            replica.store,
            replica.timers,
            replica.records,
            (revision, lastRequestMicros) -> completions.add(new Loaded(revision, lastRequestMicros)));

    private String nextFrom() {
        return replica.store.listings.element().afterKey();
    }

    private void answer(KeyValueStore.Page page) {
        replica.store.listings.remove().answer().accept(page);
    }

    @Test
    void eachPageBeginsAfterTheLastKeyOfTheOneBefore() {
        loader.load();
        assertEquals("", nextFrom());
        answer(pageBeforeOthers(9, written("g/a", 3), written("g/b", 2)));
        assertEquals("g/b", nextFrom());
        answer(page(9, written("g/c", 4)));
        assertEquals(List.of("g/a@3", "g/b@2", "g/c@4"), replica.changes);
        assertTrue(replica.store.listings.isEmpty());
    }

    @Test
    void aPageThatHoldsNothingIsFollowedFromTheSameKey() {
        loader.load();
        answer(pageBeforeOthers(9, written("g/a", 3)));
        answer(pageBeforeOthers(9));
        assertEquals("g/a", nextFrom());
    }

    @Test
    void itIsCompleteAsOfTheFirstPage() {
        loader.load();
        answer(pageBeforeOthers(9, written("g/a", 3)));
        assertEquals(List.of(), completions);
        answer(page(12, written("g/b", 11)));
        assertEquals(9, completions.get(0).revision(), "a change of g/a after 9 may not have been seen");
    }

    @Test
    void contactCountsFromWhenTheLastPageWasAskedFor() {
        loader.load();
        replica.timers.advance(5);
        answer(pageBeforeOthers(9, written("g/a", 3)));
        long sentMicros = replica.timers.nowMicros();
        replica.timers.advance(7);
        answer(page(9));
        assertEquals(List.of(new Loaded(9, sentMicros)), completions);
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class, mode = EnumSource.Mode.EXCLUDE, names = "OK")
    void aPageWithoutAnAnswerIsAskedForAgain(Outcome outcome) {
        loader.load();
        answer(pageBeforeOthers(9, written("g/a", 3)));
        answer(failed(outcome));
        replica.timers.advance(RETRY - 1);
        assertTrue(replica.store.listings.isEmpty());
        replica.timers.advance(1);
        assertEquals("g/a", nextFrom());
        answer(page(9));
        assertEquals(1, completions.size());
    }

    @Test
    void recordsThatAreNoLongerListedAreRemoved() {
        replica.records.apply(written("g/old", 2));
        loader.load();
        answer(page(9, written("g/a", 3)));
        assertFalse(replica.records.has("g/old"));
        assertTrue(replica.records.has("g/a"));
    }

    @Test
    void recordsOfAnyPageStay() {
        loader.load();
        answer(pageBeforeOthers(9, written("g/a", 3)));
        answer(page(9, written("g/b", 4)));
        assertTrue(replica.records.has("g/a") && replica.records.has("g/b"));
    }

    @Test
    void whatWasWrittenAfterTheFirstPageStaysThoughItIsNotListed() {
        loader.load();
        answer(pageBeforeOthers(9, written("g/b", 3)));
        replica.records.apply(written("g/a", 10));
        answer(page(10));
        assertTrue(replica.records.has("g/a"), "its key was passed already");
    }

    @Test
    void aLaterLoadJudgesByItsOwnListing() {
        loader.load();
        answer(page(9, written("g/a", 3)));
        loader.load();
        answer(page(20, written("g/b", 15)));
        assertFalse(replica.records.has("g/a"));
        assertEquals(20, completions.get(1).revision());
    }
}
