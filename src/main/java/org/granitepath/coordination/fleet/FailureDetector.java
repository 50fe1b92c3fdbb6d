package org.granitepath.coordination.fleet;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What it means that machines are not heard: that they failed, that a zone is cut off, or that we are. Judged by the
 * heartbeats that are overdue, before any machine has been silent for long enough to be given up: in a cut machines
 * fall silent one after the other, and the first of them must not be terminated before the rest are.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** A zone with fewer machines than this tells nothing. */
    private static final int LEAST_MACHINES = 4;
    /** Overdue share of a zone's machines, and at most of the others', for the zone to count as cut off. */
    private static final double CUT_OFF_SHARE = 0.7;

    private static final double REST_SHARE = 0.3;
    private static final double FEW_SHARE = 0.2;
    private static final int HEARTBEATS_MISSED = 2;
    private static final long ANSWER_MICROS = 1_000_000;

    private final Config config;
    private final Fleet fleet;
    private final Peers peers;
    private final Set<String> cutOff = new HashSet<>();
    /** Zones in which many machines are overdue: perhaps a cut of which only the beginning shows. */
    private final Set<String> suspectedZones = new HashSet<>();
    /** When each zone was last found cut off. */
    private final Map<String, Long> lastCutMicros = new HashMap<>();

    private int overdue;

    /** Judges the machines of this fleet, with what peers tell of them. */
    public FailureDetector(Config config, Fleet fleet, Peers peers) {
        this.config = config;
        this.fleet = fleet;
        this.peers = peers;
    }

    /** Looks at all machines anew. */
    public void update(long now) {
        Object2IntOpenHashMap<String> all = new Object2IntOpenHashMap<>();
        Object2IntOpenHashMap<String> late = new Object2IntOpenHashMap<>();
        overdue = 0;
        suspectedZones.clear();
        for (Machine machine : fleet.machines()) {
            all.addTo(machine.zone(), 1);
            if (fleet.overdue(machine, now)) {
                late.addTo(machine.zone(), 1);
                overdue++;
            }
        }
        int machines = fleet.machines().size();
        for (String zone : all.keySet()) {
            int inZone = all.getInt(zone);
            int lateInZone = late.getInt(zone);
            boolean isCut = inZone >= LEAST_MACHINES
                    && lateInZone >= CUT_OFF_SHARE * inZone
                    && overdue - lateInZone < REST_SHARE * (machines - inZone);
            if (isCut) {
                lastCutMicros.put(zone, now);
            }
            if (lateInZone > FEW_SHARE * inZone) {
                suspectedZones.add(zone);
            }
            if (isCut && cutOff.add(zone)) {
                LOG.info(
                        "zone {} seems cut off: {} of {} machines are overdue there, {} of {} elsewhere",
                        zone,
                        lateInZone,
                        inZone,
                        overdue - lateInZone,
                        machines - inZone);
            } else if (!isCut && cutOff.remove(zone)) {
                LOG.info("zone {} is heard again: {} of {} machines are overdue", zone, lateInZone, inZone);
            }
        }
        cutOff.retainAll(all.keySet());
    }

    /** Whether the machines of this zone alone were lately not heard: none is launched there. */
    public boolean cutOff(String zone, long now) {
        Long last = lastCutMicros.get(zone);
        return last != null && now - last < config.workers().leaseMicros();
    }

    /**
     * Whether this machine may be cut off with work that goes on: only where a controller inside can keep its lease
     * alive. Elsewhere its work is lost with the lease, and is sooner done on another machine.
     */
    public boolean waitedFor(Machine machine, long now) {
        return cutOff(machine.zone(), now) && config.topology().peerIn(machine.zone());
    }

    /**
     * How long a machine that does not answer calls may be silent before it is given up. Where many of its zone are
     * overdue it is one heartbeat more: when the last one to report before a cut is overdue, the first one has been
     * silent for that much longer, and without the wait the first ones were terminated with all their work.
     */
    public long silenceMicros(Machine machine) {
        int reports = suspectedZones.contains(machine.zone()) ? HEARTBEATS_MISSED + 1 : HEARTBEATS_MISSED;
        return reports * config.workers().heartbeatIntervalMicros() + ANSWER_MICROS;
    }

    /**
     * Many overdue at once: perhaps we are the ones cut off. Peers that don't hear them either tell us that we are not.
     */
    public boolean trusted(long now) {
        int machines = fleet.machines().size();
        int elsewhere = peers.mostRedirectedMachines();
        return overdue <= Math.max(2, machines * FEW_SHARE)
                || (overdue <= machines / 2 && elsewhere >= 0 && elsewhere < overdue / 4);
    }
}
