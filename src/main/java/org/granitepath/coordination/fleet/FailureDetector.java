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
 * What it means that heartbeats are overdue: that machines failed, that a zone is cut off, or that we are. Judged
 * before any machine is given up: in a cut the heartbeats of one machine after the other fail to come, and the first
 * machine must not be terminated before the rest are overdue too.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** This share of all machines, or two of them, may be overdue before our own connection is suspected. */
    private static final double FEW_SHARE = 0.2;

    private static final int FEW_MACHINES = 2;
    private static final int HEARTBEATS_MISSED = 2;
    private static final long ANSWER_MICROS = 1_000_000;

    private final Config config;
    private final Fleet fleet;
    private final Peers peers;
    private final Set<String> cutOffZones = new HashSet<>();
    /** Zones in which many machines are overdue: perhaps a cut of which only the beginning shows. */
    private final Set<String> suspectedZones = new HashSet<>();
    /** When each zone was last found cut off. */
    private final Map<String, Long> lastCutOffMicros = new HashMap<>();

    private int overdueMachines;

    /** Judges the machines of this fleet, with what peers tell of them. */
    public FailureDetector(Config config, Fleet fleet, Peers peers) {
        this.config = config;
        this.fleet = fleet;
        this.peers = peers;
    }

    /** Looks at all machines anew. */
    public void update(long nowMicros) {
        Object2IntOpenHashMap<String> machinesByZone = new Object2IntOpenHashMap<>();
        Object2IntOpenHashMap<String> overdueByZone = new Object2IntOpenHashMap<>();
        count(machinesByZone, overdueByZone, nowMicros);
        suspectedZones.clear();
        for (String zone : machinesByZone.keySet()) {
            judge(zone, counts(machinesByZone.getInt(zone), overdueByZone.getInt(zone)), nowMicros);
        }
        cutOffZones.retainAll(machinesByZone.keySet());
    }

    private void count(
            Object2IntOpenHashMap<String> machinesByZone, Object2IntOpenHashMap<String> overdueByZone, long nowMicros) {
        overdueMachines = 0;
        for (Machine machine : fleet.machines()) {
            machinesByZone.addTo(machine.zone(), 1);
            if (fleet.isHeartbeatOverdue(machine, nowMicros)) {
                overdueByZone.addTo(machine.zone(), 1);
                overdueMachines++;
            }
        }
    }

    private ZoneCounts counts(int machinesInZone, int overdueInZone) {
        int machinesElsewhere = fleet.machines().size() - machinesInZone;
        return new ZoneCounts(machinesInZone, overdueInZone, machinesElsewhere, overdueMachines - overdueInZone);
    }

    private void judge(String zone, ZoneCounts counts, long nowMicros) {
        if (counts.isSuspected()) {
            suspectedZones.add(zone);
        }
        if (counts.isCutOff()) {
            lastCutOffMicros.put(zone, nowMicros);
            foundCutOff(zone, counts);
        } else {
            foundConnected(zone, counts);
        }
    }

    private void foundCutOff(String zone, ZoneCounts counts) {
        if (cutOffZones.add(zone)) {
            LOG.info(
                    "zone {} seems cut off: {} of {} machines are overdue there, {} of {} elsewhere",
                    zone,
                    counts.overdue(),
                    counts.machines(),
                    counts.overdueElsewhere(),
                    counts.machinesElsewhere());
        }
    }

    private void foundConnected(String zone, ZoneCounts counts) {
        if (cutOffZones.remove(zone)) {
            LOG.info(
                    "zone {} sends heartbeats again: {} of {} machines are overdue",
                    zone,
                    counts.overdue(),
                    counts.machines());
        }
    }

    /** Whether this zone alone was lately cut off: no machine is launched there. */
    public boolean isZonePartitioned(String zone, long nowMicros) {
        Long lastMicros = lastCutOffMicros.get(zone);
        return lastMicros != null && nowMicros - lastMicros < config.workers().leaseMicros();
    }

    /**
     * Whether this machine may be cut off with work that goes on: only where a controller inside can keep its lease
     * alive. Elsewhere its work is lost with the lease, and is sooner done on another machine.
     */
    public boolean isPartitionedWithPeer(Machine machine, long nowMicros) {
        return isZonePartitioned(machine.zone(), nowMicros) && config.topology().hasPeerIn(machine.zone());
    }

    /**
     * How old the last heartbeat of a machine that does not answer calls may become before the machine is given up.
     * Where many of its zone are overdue it is one heartbeat more: when the last one to send before a cut is overdue,
     * the heartbeat of the first one is older by that much, and without the wait the first ones were terminated with
     * all their work.
     */
    public long unresponsiveTimeoutMicros(Machine machine) {
        boolean suspected = suspectedZones.contains(machine.zone());
        int heartbeatsMissed = suspected ? HEARTBEATS_MISSED + 1 : HEARTBEATS_MISSED;
        return heartbeatsMissed * config.workers().heartbeatIntervalMicros() + ANSWER_MICROS;
    }

    /**
     * Whether overdue heartbeats tell of the machines. When many are overdue at once, perhaps we are the ones cut off;
     * peers that don't receive them either tell us that we are not.
     */
    public boolean canTrustMissedHeartbeats() {
        int machines = fleet.machines().size();
        int redirectedByPeer = peers.maxRedirectedMachines();
        boolean few = overdueMachines <= Math.max(FEW_MACHINES, machines * FEW_SHARE);
        boolean peersMissThemToo = redirectedByPeer >= 0 && redirectedByPeer < overdueMachines / 4;
        return few || (overdueMachines <= machines / 2 && peersMissThemToo);
    }
}
