package org.granitepath.coordination.leadership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.PeerPort.PeerStatus;
import org.granitepath.storage.OneShot;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/**
 * How the other controllers are. An outage of the store and a cut of our own path to it look alike from here;
 * a peer that is in contact tells them apart.
 */
public final class Peers {
    private static final long EXCHANGE_MICROS = 1_000_000;
    /** A status that is older than this tells nothing of the present. */
    private static final long RECENT_MICROS = 3_500_000;
    /** Beyond the time after which a leader out of reach starts nothing more: it must surely be over. */
    private static final long ANNOUNCEMENT_MARGIN_MICROS = 100_000;

    private record LastStatus(PeerStatus status, long receivedMicros) {
        boolean isRecent(long nowMicros) {
            return nowMicros - receivedMicros < RECENT_MICROS;
        }
    }

    private final Config config;
    private final PeerPort port;
    private final Timers timers;
    private final Supplier<PeerStatus> ownStatus;
    private final Map<String, LastStatus> lastStatusByPeer = new HashMap<>();

    /** Nothing is exchanged before it is started. */
    public Peers(Config config, PeerPort port, Timers timers, Supplier<PeerStatus> ownStatus) {
        this.config = config;
        this.port = port;
        this.timers = timers;
        this.ownStatus = ownStatus;
    }

    /** Begins to exchange status messages once a second. */
    public void start() {
        exchangeStatus();
    }

    private void exchangeStatus() {
        timers.after(EXCHANGE_MICROS, this::exchangeStatus);
        for (String peer : config.topology().peers()) {
            port.exchangeStatus(peer, ownStatus.get(), answer -> {
                if (answer != null) {
                    handleStatus(answer);
                }
            });
        }
    }

    /** A peer has told how it is. */
    public void handleStatus(PeerStatus status) {
        lastStatusByPeer.put(status.node(), new LastStatus(status, timers.nowMicros()));
    }

    /** The most machines that one peer lately turned away; negative without a recent status of any peer. */
    public int maxRedirectedMachines() {
        return recentStatuses().mapToInt(PeerStatus::redirectedMachines).max().orElse(-1);
    }

    /** Whether a peer lately told that it is the leader. */
    public boolean hasRecentLeaderStatus() {
        return recentStatuses().anyMatch(PeerStatus::isLeader);
    }

    /** Whether a peer lately had word from the store, at most {@code ageMicros} old when it told us. */
    public boolean isAnyPeerConnected(long ageMicros) {
        return recentStatuses().anyMatch(status -> isConnected(status, ageMicros));
    }

    /** Whether every peer lately told that the store had not answered it for so long, or never. */
    public boolean isEveryPeerDisconnected(long ageMicros) {
        long nowMicros = timers.nowMicros();
        return config.topology().peers().stream()
                .map(lastStatusByPeer::get)
                .allMatch(last -> last != null && last.isRecent(nowMicros) && !isConnected(last.status(), ageMicros));
    }

    private Stream<PeerStatus> recentStatuses() {
        long nowMicros = timers.nowMicros();
        return lastStatusByPeer.values().stream()
                .filter(last -> last.isRecent(nowMicros))
                .map(LastStatus::status);
    }

    private static boolean isConnected(PeerStatus status, long ageMicros) {
        return status.storeContactAgeMicros() >= 0 && status.storeContactAgeMicros() <= ageMicros;
    }

    /**
     * Passes a cancellation on that is on record. {@code then} runs once no task of the job is started any more: when
     * the leader has taken it in, or when a leader that we don't reach can no longer count as in contact with the
     * records, nor go by an earlier status message of ours that told it that we were out of contact.
     *
     * @param leader the leader on record, or null
     */
    public void announceCancellation(PeerPort.CancellationNotice notice, @Nullable String leader, Runnable then) {
        boolean leaderIsPeer = config.topology().peers().contains(leader);
        OneShot effective = new OneShot();
        for (String peer : config.topology().peers()) {
            port.sendCancellation(peer, notice, taken -> {
                if (taken && peer.equals(leader)) {
                    effective.fire(then);
                }
            });
        }
        if (leaderIsPeer) {
            long longestMicros = Math.max(config.tuning().leaderLeaseMicros(), RECENT_MICROS);
            effective.fireAfter(timers, WorkerTiming.withClockDrift(longestMicros) + ANNOUNCEMENT_MARGIN_MICROS, then);
        } else {
            effective.fire(then); // no other controller starts tasks
        }
    }
}
