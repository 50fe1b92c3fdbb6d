package org.granitepath.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.junit.jupiter.api.Test;

/** The phases of leader election, with an in-memory store and a manual clock. */
class LeadershipTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final String NODE = "c1";

    private final ManualTimers timers = new ManualTimers();
    private final MemoryStore store = new MemoryStore(timers);
    private final List<String> events = new ArrayList<>();
    private boolean peersDisconnected;
    private Leadership leadership;

    private void start() {
        Config config = TestConfigs.of(NODE, "c1-2", "c2");
        RecordReplica replica = new RecordReplica(store, timers, SECOND_MICROS / 10, new RecordReplica.Listener() {
            @Override
            public void onRecordChanged(String key, StoredRecord record, long revision) {
                if (key.equals(Keys.LEADER)) {
                    leadership.onLeaderRecordChanged();
                }
            }

            @Override
            public void onLoaded() {}
        });
        leadership = new Leadership(config, store, replica, timers, () -> peersDisconnected, new Leadership.Listener() {
            @Override
            public void onElected(Leadership.Term term) {
                events.add("elected " + term.fencingToken());
            }

            @Override
            public void onLeadershipLost(String why) {
                events.add("lost: " + why);
            }
        });
        replica.start();
        leadership.start();
        timers.advance(2 * SECOND_MICROS);
    }

    @Test
    void withoutALeaderOnRecordTheControllerBecomesLeader() {
        start();
        assertEquals(List.of("elected 1"), events);
        assertTrue(leadership.isLeaseConfirmed() && leadership.canStartTasks());
        assertEquals(NODE, leadership.leaderNode());
    }

    @Test
    void aControllerFollowsAnotherLeaderUntilItsLeaseExpires() {
        store.put(Keys.LEADER, new LeaderRecord("c2", "c2-1", 7), 99);
        store.put(Keys.FENCING_TOKEN, new FencingTokenRecord("c2", 7, 7), 0);
        start();
        assertFalse(leadership.isLeader());
        store.expireLeaseOf(Keys.LEADER);
        timers.advance(SECOND_MICROS);
        assertEquals(List.of("elected 8"), events, "under the next fencing token");
    }

    @Test
    void anEarlierProcessOfTheSameControllerIsReplacedAtOnce() {
        store.put(Keys.LEADER, new LeaderRecord(NODE, "c1-1", 7), 99);
        store.put(Keys.FENCING_TOKEN, new FencingTokenRecord(NODE, 7, 7), 0);
        start();
        assertEquals(List.of("elected 8"), events);
    }

    @Test
    void inAnOutageTheLeaderIsDisconnectedThenFencedOffAndLeadsAgainAfterwards() {
        start();
        store.unreachable = true;
        timers.advance(5 * SECOND_MICROS);
        assertTrue(leadership.canAnswerWorkers() && !leadership.isLeaseConfirmed(), "disconnected");
        assertFalse(leadership.canStartTasks(), "a peer may have confirmed a cancellation");
        peersDisconnected = true;
        assertTrue(leadership.canStartTasks(), "no peer can have confirmed one");
        timers.advance(15 * SECOND_MICROS);
        assertFalse(leadership.canAnswerWorkers() || leadership.canStartTasks(), "fenced off");
        assertTrue(leadership.isLeader(), "the term is not known to have ended");
        store.unreachable = false;
        timers.advance(3 * SECOND_MICROS);
        assertTrue(leadership.isLeaseConfirmed());
        assertEquals(List.of("elected 1"), events, "still the same term");
    }

    @Test
    void aLeaseThatExpiredInAnOutageEndsTheTerm() {
        start();
        store.unreachable = true;
        timers.advance(5 * SECOND_MICROS);
        store.expireLeaseOf(Keys.LEADER);
        store.unreachable = false;
        timers.advance(3 * SECOND_MICROS);
        assertEquals(List.of("elected 1", "lost: the leader lease expired", "elected 2"), events);
    }

    @Test
    void renewalsWithoutReadsKeepTheTermButDoNotConfirmIt() {
        start();
        store.readsWithheld = true;
        timers.advance(5 * SECOND_MICROS);
        assertTrue(leadership.isLeader() && !leadership.isLeaseConfirmed(), "a cancellation shows only in the records");
        store.expireLeaseOf(Keys.LEADER);
        timers.advance(SECOND_MICROS);
        assertEquals(
                List.of("elected 1", "lost: the leader lease expired"),
                events,
                "the answer to the renewal shows that the lease has expired");
    }

    @Test
    void aLeaderThatStepsDownLetsOthersCampaignFirst() {
        start();
        leadership.stepDown("the machines cannot reach this controller");
        timers.advance(14 * SECOND_MICROS);
        assertEquals(List.of("elected 1", "lost: the machines cannot reach this controller"), events);
        timers.advance(2 * SECOND_MICROS);
        assertEquals("elected 2", events.get(2));
    }

    @Test
    void aLateAnswerToARenewalOfAnEarlierTermDoesNotEndTheCurrentTerm() {
        start();
        store.renewalsWithheld = true;
        timers.advance(3 * SECOND_MICROS);
        leadership.stepDown("the machines cannot reach this controller");
        store.renewalsWithheld = false;
        timers.advance(16 * SECOND_MICROS);
        List<String> before = List.of("elected 1", "lost: the machines cannot reach this controller", "elected 2");
        assertEquals(before, events);
        assertEquals(1, store.answerWithheldRenewals());
        timers.advance(SECOND_MICROS);
        assertEquals(before, events);
        assertTrue(leadership.isLeaseConfirmed());
    }

    @Test
    void theTimeOfTheLastConfirmationIsKeptAfterTheTerm() {
        start();
        assertTrue(leadership.lastConfirmedMicros() > 0);
        timers.advance(3 * SECOND_MICROS);
        long confirmedMicros = leadership.lastConfirmedMicros();
        leadership.stepDown("the machines cannot reach this controller");
        timers.advance(10 * SECOND_MICROS);
        assertEquals(confirmedMicros, leadership.lastConfirmedMicros());
    }
}
