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
 * The last known status of the other controllers. A controller that gets no answers from the store cannot know by
 * itself whether the store is down or only unreachable from its own network; the status of a peer that has contact with
 * the store shows which.
 */
public final class Peers {
    private static final long EXCHANGE_INTERVAL_MICROS = 1_000_000;
    /** A status that was received longer ago than this is not used any more. */
    private static final long MAX_STATUS_AGE_MICROS = 3_500_000;
    /**
     * Added to the time after which an unreachable leader starts no more tasks, so that this time has surely passed.
     */
    private static final long ANNOUNCEMENT_MARGIN_MICROS = 100_000;

    private record LastStatus(PeerStatus status, long receivedMicros) {
        boolean isRecent(long nowMicros) {
            return nowMicros - receivedMicros < MAX_STATUS_AGE_MICROS;
        }
    }

    private final Config config;
    private final PeerPort port;
    private final Timers timers;
    private final Supplier<PeerStatus> ownStatus;
    private final Map<String, LastStatus> lastStatusByPeer = new HashMap<>();

    /** Creates the exchange of status messages, which does not begin until {@link #start} is called. */
    public Peers(Config config, PeerPort port, Timers timers, Supplier<PeerStatus> ownStatus) {
        this.config = config;
        this.port = port;
        this.timers = timers;
        this.ownStatus = ownStatus;
    }

    /** Starts exchanging status messages with all peers once a second. */
    public void start() {
        exchangeStatus();
    }

    private void exchangeStatus() {
        timers.after(EXCHANGE_INTERVAL_MICROS, this::exchangeStatus);
        for (String peer : config.topology().peers()) {
            port.exchangeStatus(peer, ownStatus.get(), answer -> {
                if (answer != null) {
                    handleStatus(answer);
                }
            });
        }
    }

    /** Stores the status that a peer has sent. */
    public void handleStatus(PeerStatus status) {
        lastStatusByPeer.put(status.node(), new LastStatus(status, timers.nowMicros()));
    }

    /** Returns the highest number of redirected machines in a recent status, or -1 if no peer has a recent status. */
    public int maxRedirectedMachines() {
        return recentStatuses().mapToInt(PeerStatus::redirectedMachines).max().orElse(-1);
    }

    /** Returns whether a peer has recently reported that it is the leader. */
    public boolean hasRecentLeaderStatus() {
        return recentStatuses().anyMatch(PeerStatus::isLeader);
    }

    /**
     * Returns whether some peer has recently reported contact with the store that was at most {@code maxAgeMicros} old
     * when it was reported.
     */
    public boolean isAnyPeerConnected(long maxAgeMicros) {
        return recentStatuses().anyMatch(status -> isConnected(status, maxAgeMicros));
    }

    /**
     * Returns whether every peer has recently reported that it has had no contact with the store for more than
     * {@code maxAgeMicros}, or never.
     */
    public boolean isEveryPeerDisconnected(long maxAgeMicros) {
        long nowMicros = timers.nowMicros();
        return config.topology().peers().stream()
                .map(lastStatusByPeer::get)
                .allMatch(
                        last -> last != null && last.isRecent(nowMicros) && !isConnected(last.status(), maxAgeMicros));
    }

    private Stream<PeerStatus> recentStatuses() {
        long nowMicros = timers.nowMicros();
        return lastStatusByPeer.values().stream()
                .filter(last -> last.isRecent(nowMicros))
                .map(LastStatus::status);
    }

    private static boolean isConnected(PeerStatus status, long maxAgeMicros) {
        return status.storeContactAgeMicros() >= 0 && status.storeContactAgeMicros() <= maxAgeMicros;
    }

    /**
     * Sends a cancellation that is committed to the store to all peers. {@code callback} runs once no task of the job
     * can be started any more, which is so as soon as the leader has applied the cancellation. If the leader does not
     * confirm this, {@code callback} runs after a timeout. By that time the leader's last contact with the records is
     * too old for it to start tasks. A leader without contact may also start tasks if all peers have reported that they
     * have no contact either. If this controller has sent the leader such a report, the report is too old by then as
     * well.
     *
     * @param leader the leader on record, or null if there is none
     */
    public void announceCancellation(PeerPort.CancellationNotice notice, @Nullable String leader, Runnable callback) {
        boolean leaderIsPeer = config.topology().peers().contains(leader);
        OneShot whenEffective = new OneShot();
        for (String peer : config.topology().peers()) {
            port.sendCancellation(peer, notice, applied -> {
                if (applied && peer.equals(leader)) {
                    whenEffective.fire(callback);
                }
            });
        }
        if (leaderIsPeer) {
            long leaderTimeoutMicros = Math.max(config.tuning().leaderLeaseMicros(), MAX_STATUS_AGE_MICROS);
            whenEffective.fireAfter(
                    timers, WorkerTiming.withClockDrift(leaderTimeoutMicros) + ANNOUNCEMENT_MARGIN_MICROS, callback);
        } else {
            whenEffective.fire(callback); // no other controller can start tasks
        }
    }
}
