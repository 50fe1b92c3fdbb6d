package org.granitepath.coordination.leadership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.WorkerTiming;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.storage.Timers;

/**
 * How the other controllers are. An outage of the store and a cut of our own path to it look alike from here;
 * a peer that is in contact tells them apart.
 */
public final class Peers {
    private static final long TICK_MICROS = 1_000_000;
    private static final long FRESH_MICROS = 3_500_000;
    private static final long SURELY_OVER_MICROS = 100_000;

    private record Heard(PeerPort.PeerStatus status, long atMicros) {}

    private final Config config;
    private final PeerPort port;
    private final Timers timers;
    private final Supplier<PeerPort.PeerStatus> ours;
    private final Map<String, Heard> heard = new HashMap<>();

    /** Nothing is exchanged before it is started. */
    public Peers(Config config, PeerPort port, Timers timers, Supplier<PeerPort.PeerStatus> ours) {
        this.config = config;
        this.port = port;
        this.timers = timers;
        this.ours = ours;
    }

    /** Begins to exchange status messages once a second. */
    public void start() {
        tick();
    }

    private void tick() {
        timers.after(TICK_MICROS, this::tick);
        for (String peer : config.topology().peers()) {
            port.exchangeStatus(peer, ours.get(), answer -> {
                if (answer != null) {
                    take(answer);
                }
            });
        }
    }

    /** A peer has told how it is. */
    public void take(PeerPort.PeerStatus status) {
        heard.put(status.node(), new Heard(status, timers.nowMicros()));
    }

    /** The most machines that one peer lately turned away; negative when no peer has been heard. */
    public int mostRedirectedMachines() {
        long now = timers.nowMicros();
        return heard.values().stream()
                .filter(h -> now - h.atMicros() < FRESH_MICROS)
                .mapToInt(h -> h.status().redirectedMachines())
                .max()
                .orElse(-1);
    }

    /**
     * Whether every peer was lately heard and told that the store had not answered it for so long, or never.
     */
    public boolean allDisconnected(long ageMicros) {
        long now = timers.nowMicros();
        for (String peer : config.topology().peers()) {
            Heard h = heard.get(peer);
            if (h == null || now - h.atMicros() >= FRESH_MICROS) {
                return false;
            }
            long age = h.status().contactAgeMicros();
            if (age >= 0 && age <= ageMicros) {
                return false;
            }
        }
        return true;
    }

    /**
     * Passes a cancellation on that is on record. {@code then} runs once no task of the job is started any more: when
     * the leader has taken it in, or when a leader that we don't reach can no longer count as in contact with the
     * records, nor go by an earlier status message of ours that told it that we were out of contact.
     */
    public void announceCancellation(PeerPort.CancellationNotice notice, String leader, Runnable then) {
        boolean[] over = {!config.topology().peers().contains(leader)};
        for (String peer : config.topology().peers()) {
            port.sendCancellation(peer, notice, taken -> {
                if (taken && peer.equals(leader) && !over[0]) {
                    over[0] = true;
                    then.run();
                }
            });
        }
        if (over[0]) {
            then.run();
            return;
        }
        long longest = Math.max(config.tuning().leaderLeaseMicros(), FRESH_MICROS);
        timers.after(WorkerTiming.withDrift(longest) + SURELY_OVER_MICROS, () -> {
            if (!over[0]) {
                over[0] = true;
                then.run();
            }
        });
    }

    /** Whether the leader was lately heard. */
    public boolean leaderRecentlyHeard() {
        long now = timers.nowMicros();
        return heard.values().stream()
                .anyMatch(h -> now - h.atMicros() < FRESH_MICROS && h.status().leader());
    }

    /** Whether a peer lately had word from the store, at most {@code ageMicros} old when it told us. */
    public boolean anyConnected(long ageMicros) {
        long now = timers.nowMicros();
        for (Heard h : heard.values()) {
            long age = h.status().contactAgeMicros();
            if (now - h.atMicros() < FRESH_MICROS && age >= 0 && age <= ageMicros) {
                return true;
            }
        }
        return false;
    }
}
