package org.granitepath.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskState;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.FencingTokenRecord;
import org.granitepath.storage.InventoryRecord;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which workers a controller that is cut off with its zone answers in place of the leader, and what it tells them. */
class ZoneLeaseKeeperTest {
    private static final long SECOND = 1_000_000;
    private static final String ZONE = "zone-c1";
    private static final long TERM_TOKEN = 7;
    private static final long OWN_TOKEN = 9;
    private static final TaskId ENDED = new TaskId("ended", 0);
    private static final TaskId OPEN = new TaskId("open", 0);

    private final Config config = TestConfigs.of("c1", "c1-1", "c2");
    private final ManualTimers timers = new ManualTimers();
    private final MemoryStore store = new MemoryStore(timers);
    private final RecordReplica replica = new RecordReplica(store, timers, SECOND / 10, new RecordReplica.Listener() {
        @Override
        public void changed(String key, StoredRecord record, long revision) {}

        @Override
        public void loaded() {}
    });
    private final Peers peers = new Peers(config, new NoPeers(), timers, () -> null);
    private final ZoneLeaseKeeper keeper =
            new ZoneLeaseKeeper(config, replica, Set.of(ENDED.job())::contains, peers, timers);

    /** Peers that never answer; the test tells what they say. */
    private static final class NoPeers implements PeerPort {
        @Override
        public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {}

        @Override
        public void exchangeStatus(String peer, PeerStatus ours, Consumer<PeerStatus> then) {}
    }

    /** Two machines on record, the second under a token of its own. */
    @BeforeEach
    void followTheStore() {
        store.put(Keys.FENCING_TOKEN, new FencingTokenRecord("c2", TERM_TOKEN, OWN_TOKEN), 0);
        store.put(
                Keys.inventory(0),
                new InventoryRecord(List.of(
                        new InventoryRecord.Host("m1", "m1:1", "g8", ZONE, false, TERM_TOKEN - 1),
                        new InventoryRecord.Host("m2", "m2:1", "g8", ZONE, false, OWN_TOKEN))),
                0);
        replica.start();
        timers.advance(SECOND);
    }

    private void loseContactFor(long micros) {
        store.unreachable = true;
        timers.advance(MemoryStore.ANSWER_MICROS); // what is under way is still answered
        timers.advance(replica.lastContactMicros() + micros - timers.nowMicros());
    }

    private static Heartbeat heartbeat(String machine, String zone, long fencingToken, TaskStatus... tasks) {
        return new Heartbeat(machine, machine + ":1", "g8", zone, false, 1, 1, fencingToken, -1, List.of(tasks));
    }

    private boolean mayRenewFirstMachine() {
        return keeper.canRenew(heartbeat("m1", ZONE, TERM_TOKEN));
    }

    private void receive(long contactAgeMicros, boolean leader) {
        peers.handleStatus(new PeerPort.PeerStatus("c2", contactAgeMicros, leader, 0));
    }

    @Test
    void inContactWithTheStoreItLeavesMachinesToTheLeader() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS - 1);
        assertFalse(mayRenewFirstMachine());
    }

    @Test
    void cutOffItAnswersTheMachinesOfItsZone() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertTrue(mayRenewFirstMachine());
    }

    @Test
    void itAnswersForAsLongAsALeaderOutOfContactMay() {
        loseContactFor(config.workers().maxDisconnectedMicros());
        assertTrue(mayRenewFirstMachine());
        timers.advance(1);
        assertFalse(mayRenewFirstMachine());
    }

    @Test
    void machinesOfOtherZonesAreNotAnswered() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(keeper.canRenew(heartbeat("m1", "zone-c2", TERM_TOKEN)));
    }

    @Test
    void aRecentStatusOfTheLeaderMeansThatItIsNotCutOff() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        receive(-1, true);
        assertFalse(mayRenewFirstMachine());
    }

    @Test
    void aPeerInContactWithTheStoreMeansThatItIsNotCutOff() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        receive(0, false);
        assertFalse(mayRenewFirstMachine());
    }

    @Test
    void aPeerOutOfContactChangesNothing() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        receive(Config.CONTACT_TIMEOUT_MICROS + 1, false);
        assertTrue(mayRenewFirstMachine());
    }

    @Test
    void theWorkerMustHaveSeenTheHigherOfTheTokensOnRecord() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(keeper.canRenew(heartbeat("m1", ZONE, TERM_TOKEN - 1)), "the row has an older one");
        assertFalse(keeper.canRenew(heartbeat("m2", ZONE, TERM_TOKEN)), "the machine has its own");
        assertTrue(keeper.canRenew(heartbeat("m2", ZONE, OWN_TOKEN)));
    }

    @Test
    void machinesThatAreNotOnRecordAreNotAnswered() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(keeper.canRenew(heartbeat("unknown", ZONE, 0)));
        assertFalse(keeper.canRenew(heartbeat("unknown", ZONE, TERM_TOKEN)));
    }

    @Test
    void tokensAreReadAgainAfterEachContact() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertTrue(mayRenewFirstMachine());
        store.unreachable = false;
        store.put(Keys.FENCING_TOKEN, new FencingTokenRecord("c2", OWN_TOKEN + 1, OWN_TOKEN + 1), 0);
        timers.advance(SECOND);
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(mayRenewFirstMachine());
        assertTrue(keeper.canRenew(heartbeat("m1", ZONE, OWN_TOKEN + 1)));
    }

    @Test
    void itsAnswerStopsTasksOfEndedJobsAndStartsNothing() {
        HeartbeatResponse response = keeper.answer(heartbeat(
                "m1",
                ZONE,
                TERM_TOKEN,
                new TaskStatus(ENDED, 2, TaskState.RUNNING, ExitCause.NONE, false),
                new TaskStatus(OPEN, 3, TaskState.RUNNING, ExitCause.NONE, false)));
        assertEquals(new HeartbeatResponse.Accepted(TERM_TOKEN, List.of(WorkerCommand.stop(ENDED, 2, 0))), response);
    }

    @Test
    void whatHasExitedIsNotStoppedAgain() {
        HeartbeatResponse response = keeper.answer(
                heartbeat("m1", ZONE, TERM_TOKEN, new TaskStatus(ENDED, 2, TaskState.EXITED, ExitCause.DONE, false)));
        assertEquals(new HeartbeatResponse.Accepted(TERM_TOKEN, List.of()), response);
    }
}
