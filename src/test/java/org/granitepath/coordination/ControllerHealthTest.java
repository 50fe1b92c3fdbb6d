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

/** When users may be sent to a controller: it knows enough, and no other could do better. */
class ControllerHealthTest {
    private static final long SECOND = 1_000_000;

    private final ManualTimers timers = new ManualTimers();
    private final MemoryStore store = new MemoryStore(timers);
    private final RecordReplica replica = new RecordReplica(store, timers, SECOND / 10, new RecordReplica.Listener() {
        @Override
        public void changed(String key, StoredRecord record, long revision) {}

        @Override
        public void loaded() {}
    });
    private final Peers peers =
            new Peers(TestConfigs.of("c1", "c1-1", "c2"), new UnreachablePeers(), timers, () -> status("c1", 0));
    private final MachineTypeCatalog machineTypes =
            new MachineTypeCatalog(silentCloud(), timers, new MachineTypeCatalog.Listener() {
                @Override
                public void fetched(List<MachineType> types) {}

                @Override
                public void readFromRecord(List<MachineType> types) {}
            });
    private final ControllerHealth health =
            new ControllerHealth(replica, machineTypes, new StoreContact(replica, timers), peers);

    /** Peers that never answer: what they tell comes by their own messages. */
    private static final class UnreachablePeers implements PeerPort {
        @Override
        public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {}

        @Override
        public void exchangeStatus(String peer, PeerStatus ours, Consumer<PeerStatus> then) {}
    }

    private static PeerPort.PeerStatus status(String node, long contactAgeMicros) {
        return new PeerPort.PeerStatus(node, contactAgeMicros, false, 0);
    }

    private static CloudPort silentCloud() {
        return (CloudPort) Proxy.newProxyInstance(
                CloudPort.class.getClassLoader(), new Class<?>[] {CloudPort.class}, (proxy, method, arguments) -> null);
    }

    private void recordsRead() {
        replica.start();
        timers.advance(SECOND);
    }

    private void typesKnown() {
        machineTypes.recordRead(List.of(Fixtures.TYPE));
    }

    @Test
    void itIsUnhealthyBeforeItHasReadTheRecords() {
        typesKnown();
        assertFalse(health.healthy());
    }

    @Test
    void itIsUnhealthyBeforeItKnowsTheMachineTypes() {
        recordsRead();
        assertFalse(health.healthy());
    }

    @Test
    void itIsHealthyWhileTheStoreAnswers() {
        recordsRead();
        typesKnown();
        peers.handleStatus(status("c2", 0));
        assertTrue(health.healthy());
    }

    @ParameterizedTest
    @CsvSource({
        "0, false", // the peer has contact: users go there
        "60000000, true", // no one has
        "-1, true",
    })
    void withoutTheStoreItIsHealthyIfNoPeerCanDoBetter(long contactAgeOfPeer, boolean healthy) {
        recordsRead();
        typesKnown();
        store.unreachable = true;
        timers.advance(5 * SECOND);
        peers.handleStatus(status("c2", contactAgeOfPeer));
        assertEquals(healthy, health.healthy());
    }
}
