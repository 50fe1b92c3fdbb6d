package org.granitepath.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.ports.PeerPort;
import org.junit.jupiter.api.Test;

/** What a controller concludes from the last status of each peer, and when a cancellation counts as effective. */
class PeersTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long CONTACT_TIMEOUT_MICROS = 2_500_000;

    private final ManualTimers timers = new ManualTimers();
    private final Map<String, Consumer<Boolean>> announcements = new LinkedHashMap<>();
    private final PeerPort port = new PeerPort() {
        @Override
        public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> callback) {
            announcements.put(peer, callback);
        }

        @Override
        public void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<PeerStatus> callback) {}
    };
    private final Peers peers = new Peers(TestConfigs.of("c1", "c1-1", "c2", "c3"), port, timers, () -> null);
    private int effective;

    private void receive(String peer, long contactAgeMicros, int redirected) {
        peers.handleStatus(new PeerPort.PeerStatus(peer, contactAgeMicros, peer.equals("c2"), redirected));
    }

    private void announce(String leader) {
        peers.announceCancellation(new PeerPort.CancellationNotice("job", 5), leader, () -> effective++);
    }

    @Test
    void onlyRecentStatusesAreUsed() {
        assertEquals(-1, peers.maxRedirectedMachines(), "no status was received");
        receive("c2", 0, 4);
        timers.advance(2 * SECOND_MICROS);
        receive("c3", 0, 1);
        assertEquals(4, peers.maxRedirectedMachines());
        assertTrue(peers.hasRecentLeaderStatus());
        timers.advance(2 * SECOND_MICROS);
        assertEquals(1, peers.maxRedirectedMachines());
        assertFalse(peers.hasRecentLeaderStatus());
    }

    @Test
    void allPeersAreDisconnectedOnlyIfEachReportsIt() {
        receive("c2", CONTACT_TIMEOUT_MICROS + 1, 0);
        assertFalse(peers.isEveryPeerDisconnected(CONTACT_TIMEOUT_MICROS), "no status of c3 was received");
        receive("c3", CONTACT_TIMEOUT_MICROS, 0);
        assertFalse(peers.isEveryPeerDisconnected(CONTACT_TIMEOUT_MICROS));
        assertTrue(peers.isAnyPeerConnected(CONTACT_TIMEOUT_MICROS));
        receive("c3", -1, 0);
        assertTrue(peers.isEveryPeerDisconnected(CONTACT_TIMEOUT_MICROS), "never in contact");
        assertFalse(peers.isAnyPeerConnected(CONTACT_TIMEOUT_MICROS));
    }

    @Test
    void aCancellationIsEffectiveOnceTheLeaderHasAppliedIt() {
        announce("c2");
        announcements.get("c3").accept(true);
        announcements.get("c2").accept(false);
        assertEquals(0, effective);
        announcements.get("c2").accept(true);
        timers.advance(10 * SECOND_MICROS);
        assertEquals(1, effective, "the callback does not run again after the timeout");
    }

    @Test
    void aCancellationIsEffectiveOnceAnUnreachableLeaderStartsNoTasks() {
        announce("c2");
        timers.advance(3 * SECOND_MICROS);
        assertEquals(0, effective);
        timers.advance(SECOND_MICROS);
        assertEquals(1, effective);
    }

    @Test
    void ifNoPeerIsLeaderACancellationIsEffectiveAtOnce() {
        announce("c1");
        assertEquals(1, effective);
    }
}
