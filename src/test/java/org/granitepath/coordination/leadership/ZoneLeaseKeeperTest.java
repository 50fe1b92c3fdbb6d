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

/** Which workers a controller that is cut off with its zone answers on behalf of the leader, and how it answers. */
class ZoneLeaseKeeperTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final String ZONE = "zone-c1";
    private static final long TERM_TOKEN = 7;
    private static final long OWN_TOKEN = 9;
    private static final TaskId ENDED = new TaskId("ended", 0);
    private static final TaskId OPEN = new TaskId("open", 0);

    private final Config config = TestConfigs.of("c1", "c1-1", "c2");
    private final ManualTimers timers = new ManualTimers();
    private final MemoryStore store = new MemoryStore(timers);
    private final RecordReplica replica =
            new RecordReplica(store, timers, SECOND_MICROS / 10, new RecordReplica.Listener() {
                @Override
                public void onRecordChanged(String key, StoredRecord record, long revision) {}

                @Override
                public void onLoaded() {}
            });
    private final Peers peers = new Peers(config, new UnreachablePeers(), timers, () -> null);
    private final ZoneLeaseKeeper keeper =
            new ZoneLeaseKeeper(config, replica, Set.of(ENDED.job())::contains, peers, timers);

    /** Peers that never answer a call; the test delivers their status messages itself. */
    private static final class UnreachablePeers implements PeerPort {
        @Override
        public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> callback) {}

        @Override
        public void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<PeerStatus> callback) {}
    }

    /** Records two machines, the second of which has a fencing token of its own. */
    @BeforeEach
    void recordTwoMachines() {
        store.put(Keys.FENCING_TOKEN, new FencingTokenRecord("c2", TERM_TOKEN, OWN_TOKEN), 0);
        store.put(
                Keys.inventoryPartKey(0),
                new InventoryRecord(List.of(
                        new InventoryRecord.MachineRow("m1", "m1:1", "g8", ZONE, false, TERM_TOKEN - 1),
                        new InventoryRecord.MachineRow("m2", "m2:1", "g8", ZONE, false, OWN_TOKEN))),
                0);
        replica.start();
        timers.advance(SECOND_MICROS);
    }

    private void loseContactFor(long micros) {
        store.unreachable = true;
        timers.advance(MemoryStore.ANSWER_MICROS); // the requests in progress are still answered
        timers.advance(replica.lastContactMicros() + micros - timers.nowMicros());
    }

    private static Heartbeat heartbeat(String machine, String zone, long fencingToken, TaskStatus... tasks) {
        return new Heartbeat(machine, machine + ":1", "g8", zone, false, 1, 1, fencingToken, -1, List.of(tasks));
    }

    private boolean canRenewFirstMachine() {
        return keeper.canRenew(heartbeat("m1", ZONE, TERM_TOKEN));
    }

    private void receive(long contactAgeMicros, boolean leader) {
        peers.handleStatus(new PeerPort.PeerStatus("c2", contactAgeMicros, leader, 0));
    }

    @Test
    void inContactWithTheStoreNoMachineIsAnswered() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS - 1);
        assertFalse(canRenewFirstMachine());
    }

    @Test
    void aControllerThatIsCutOffAnswersMachinesOfItsZone() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertTrue(canRenewFirstMachine());
    }

    @Test
    void machinesAreAnsweredAsLongAsALeaderWithoutContactMayAnswer() {
        loseContactFor(config.workers().maxDisconnectedMicros());
        assertTrue(canRenewFirstMachine());
        timers.advance(1);
        assertFalse(canRenewFirstMachine());
    }

    @Test
    void machinesOfOtherZonesAreNotAnswered() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(keeper.canRenew(heartbeat("m1", "zone-c2", TERM_TOKEN)));
    }

    @Test
    void withARecentStatusOfTheLeaderTheControllerIsNotCutOff() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        receive(-1, true);
        assertFalse(canRenewFirstMachine());
    }

    @Test
    void withAPeerInContactTheControllerIsNotCutOff() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        receive(0, false);
        assertFalse(canRenewFirstMachine());
    }

    @Test
    void withAPeerOutOfContactTheControllerIsStillCutOff() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        receive(Config.CONTACT_TIMEOUT_MICROS + 1, false);
        assertTrue(canRenewFirstMachine());
    }

    @Test
    void theWorkerMustKnowTheHigherOfTheRecordedTokens() {
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(
                keeper.canRenew(heartbeat("m1", ZONE, TERM_TOKEN - 1)),
                "the token of the term is higher than the one in the inventory");
        assertFalse(keeper.canRenew(heartbeat("m2", ZONE, TERM_TOKEN)), "the machine has a higher token of its own");
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
        assertTrue(canRenewFirstMachine());
        store.unreachable = false;
        store.put(Keys.FENCING_TOKEN, new FencingTokenRecord("c2", OWN_TOKEN + 1, OWN_TOKEN + 1), 0);
        timers.advance(SECOND_MICROS);
        loseContactFor(Config.CONTACT_TIMEOUT_MICROS);
        assertFalse(canRenewFirstMachine());
        assertTrue(keeper.canRenew(heartbeat("m1", ZONE, OWN_TOKEN + 1)));
    }

    @Test
    void theResponseStopsTasksOfEndedJobsAndStartsNoTasks() {
        HeartbeatResponse response = keeper.answer(heartbeat(
                "m1",
                ZONE,
                TERM_TOKEN,
                new TaskStatus(ENDED, 2, TaskState.RUNNING, ExitCause.NONE, false),
                new TaskStatus(OPEN, 3, TaskState.RUNNING, ExitCause.NONE, false)));
        assertEquals(new HeartbeatResponse.Accepted(TERM_TOKEN, List.of(WorkerCommand.stop(ENDED, 2, 0))), response);
    }

    @Test
    void aTaskThatHasExitedIsNotStoppedAgain() {
        HeartbeatResponse response = keeper.answer(
                heartbeat("m1", ZONE, TERM_TOKEN, new TaskStatus(ENDED, 2, TaskState.EXITED, ExitCause.DONE, false)));
        assertEquals(new HeartbeatResponse.Accepted(TERM_TOKEN, List.of()), response);
    }
}
