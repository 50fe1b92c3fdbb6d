package org.granitepath.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.leadership.MemoryStore;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A controller is healthy when it has the data to answer users and no peer is better placed to do so. */
class ControllerHealthTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final MemoryStore store = new MemoryStore(timers);
    private final RecordReplica replica =
            new RecordReplica(store, timers, SECOND_MICROS / 10, new RecordReplica.Listener() {
                @Override
                public void onRecordChanged(String key, StoredRecord record, long revision) {}

                @Override
                public void onLoaded() {}
            });
    private final Peers peers =
            new Peers(TestConfigs.of("c1", "c1-1", "c2"), new UnreachablePeers(), timers, () -> status("c1", 0));
    private final MachineTypeCatalog machineTypes =
            new MachineTypeCatalog(unresponsiveCloud(), timers, new MachineTypeCatalog.Listener() {
                @Override
                public void onFetched(List<MachineType> types) {}

                @Override
                public void onReadFromRecord(List<MachineType> types) {}
            });
    private final ControllerHealth health =
            new ControllerHealth(replica, machineTypes, new StoreContact(replica, timers), peers);

    /** Peers that never answer a call; the test delivers their status messages itself. */
    private static final class UnreachablePeers implements PeerPort {
        @Override
        public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> callback) {}

        @Override
        public void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<PeerStatus> callback) {}
    }

    private static PeerPort.PeerStatus status(String node, long contactAgeMicros) {
        return new PeerPort.PeerStatus(node, contactAgeMicros, false, 0);
    }

    private static CloudPort unresponsiveCloud() {
        return (CloudPort) Proxy.newProxyInstance(
                CloudPort.class.getClassLoader(), new Class<?>[] {CloudPort.class}, (proxy, method, arguments) -> null);
    }

    private void readRecords() {
        replica.start();
        timers.advance(SECOND_MICROS);
    }

    private void learnMachineTypes() {
        machineTypes.onRecordRead(List.of(Fixtures.TYPE));
    }

    @Test
    void isUnhealthyBeforeTheRecordsAreRead() {
        learnMachineTypes();
        assertFalse(health.isHealthy());
    }

    @Test
    void isUnhealthyBeforeTheMachineTypesAreKnown() {
        readRecords();
        assertFalse(health.isHealthy());
    }

    @Test
    void isHealthyWhileTheStoreAnswers() {
        readRecords();
        learnMachineTypes();
        peers.handleStatus(status("c2", 0));
        assertTrue(health.isHealthy());
    }

    @ParameterizedTest
    @CsvSource({
        "0, false", // the peer is in contact with the store, so users are sent to it
        "60000000, true", // no controller is in contact with the store
        "-1, true",
    })
    void isHealthyWithoutTheStoreOnlyIfNoPeerHasContact(long peerContactAgeMicros, boolean healthy) {
        readRecords();
        learnMachineTypes();
        store.unreachable = true;
        timers.advance(5 * SECOND_MICROS);
        peers.handleStatus(status("c2", peerContactAgeMicros));
        assertEquals(healthy, health.isHealthy());
    }
}
