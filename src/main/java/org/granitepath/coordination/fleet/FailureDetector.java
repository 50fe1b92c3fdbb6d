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
 * Determines the cause of overdue heartbeats: failed machines, a network partition of a zone, or a partition of this
 * controller. The cause is determined before any machine is declared failed, because in a partition the heartbeats of
 * the affected machines become overdue one after the other, and the first machines must not be terminated before the
 * others are overdue too.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /**
     * Up to this share of all machines, or {@link #FEW_OVERDUE_MACHINES} of them, may be overdue before this controller
     * suspects its own network connection.
     */
    private static final double FEW_OVERDUE_SHARE = 0.2;

    private static final int FEW_OVERDUE_MACHINES = 2;
    /** How many heartbeats in a row a machine may miss before it is declared failed. */
    private static final int MAX_MISSED_HEARTBEATS = 2;

    private static final long RESPONSE_MARGIN_MICROS = 1_000_000;

    private final Config config;
    private final Fleet fleet;
    private final Peers peers;
    private final Set<String> partitionedZones = new HashSet<>();
    /** Zones in which many machines are overdue, which may be the beginning of a partition. */
    private final Set<String> suspectedZones = new HashSet<>();
    /** When each zone was last found to be partitioned. */
    private final Map<String, Long> lastPartitionedMicros = new HashMap<>();

    private int overdueMachines;

    /** Creates a detector for the machines of this fleet that also uses the status messages of peers. */
    public FailureDetector(Config config, Fleet fleet, Peers peers) {
        this.config = config;
        this.fleet = fleet;
        this.peers = peers;
    }

    /** Re-evaluates all machines and zones by the age of their heartbeats. */
    public void update(long nowMicros) {
        Object2IntOpenHashMap<String> machinesByZone = new Object2IntOpenHashMap<>();
        Object2IntOpenHashMap<String> overdueByZone = new Object2IntOpenHashMap<>();
        countMachines(machinesByZone, overdueByZone, nowMicros);
        suspectedZones.clear();
        for (String zone : machinesByZone.keySet()) {
            updateZone(zone, zoneCounts(machinesByZone.getInt(zone), overdueByZone.getInt(zone)), nowMicros);
        }
        partitionedZones.retainAll(machinesByZone.keySet());
    }

    private void countMachines(
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

    private ZoneCounts zoneCounts(int machinesInZone, int overdueInZone) {
        int machinesElsewhere = fleet.machines().size() - machinesInZone;
        return new ZoneCounts(machinesInZone, overdueInZone, machinesElsewhere, overdueMachines - overdueInZone);
    }

    private void updateZone(String zone, ZoneCounts counts, long nowMicros) {
        if (counts.isPartitionSuspected()) {
            suspectedZones.add(zone);
        }
        if (counts.isPartitioned()) {
            lastPartitionedMicros.put(zone, nowMicros);
            markPartitioned(zone, counts);
        } else {
            markConnected(zone, counts);
        }
    }

    private void markPartitioned(String zone, ZoneCounts counts) {
        if (partitionedZones.add(zone)) {
            LOG.info(
                    "zone {} appears partitioned: heartbeats of {} of {} machines are overdue there, {} of {} "
                            + "elsewhere; launching no machines there",
                    zone,
                    counts.overdue(),
                    counts.machines(),
                    counts.overdueElsewhere(),
                    counts.machinesElsewhere());
        }
    }

    private void markConnected(String zone, ZoneCounts counts) {
        if (partitionedZones.remove(zone)) {
            LOG.info(
                    "zone {} is no longer partitioned: heartbeats of {} of {} machines are overdue",
                    zone,
                    counts.overdue(),
                    counts.machines());
        }
    }

    /**
     * Returns whether this zone alone was found to be partitioned from this controller within the last worker lease
     * duration. No machines are launched in such a zone.
     */
    public boolean isZonePartitioned(String zone, long nowMicros) {
        Long partitionedMicros = lastPartitionedMicros.get(zone);
        return partitionedMicros != null
                && nowMicros - partitionedMicros < config.workers().leaseMicros();
    }

    /**
     * Returns whether this machine is in a partitioned zone together with a peer controller, which can keep renewing
     * its lease so that its tasks go on running. In other partitioned zones the tasks end with the lease, and they
     * complete sooner on another machine.
     */
    public boolean isPartitionedWithPeer(Machine machine, long nowMicros) {
        return isZonePartitioned(machine.zone(), nowMicros) && config.topology().hasPeerIn(machine.zone());
    }

    /**
     * Returns how old the last heartbeat of a machine that does not respond to calls may become, in microseconds,
     * before the machine is declared failed. The timeout is one heartbeat interval longer when many machines of the
     * zone are overdue: the last heartbeats before a partition are spread over one interval, so when the last machine
     * becomes overdue and the partition shows, the heartbeat of the first one is up to one interval older. Without the
     * longer timeout, the first machines were terminated together with all their tasks.
     */
    public long unresponsiveTimeoutMicros(Machine machine) {
        boolean suspected = suspectedZones.contains(machine.zone());
        int missedHeartbeats = suspected ? MAX_MISSED_HEARTBEATS + 1 : MAX_MISSED_HEARTBEATS;
        return missedHeartbeats * config.workers().heartbeatIntervalMicros() + RESPONSE_MARGIN_MICROS;
    }

    /**
     * Returns whether missed heartbeats indicate failures of the machines themselves. When many machines are overdue at
     * once, this controller may be the one that is partitioned, unless a peer does not receive their heartbeats either.
     */
    public boolean canTrustMissedHeartbeats() {
        int machines = fleet.machines().size();
        int redirectedByPeer = peers.maxRedirectedMachines();
        boolean fewOverdue = overdueMachines <= Math.max(FEW_OVERDUE_MACHINES, machines * FEW_OVERDUE_SHARE);
        boolean peersMissHeartbeatsToo = redirectedByPeer >= 0 && redirectedByPeer < overdueMachines / 4;
        return fewOverdue || (overdueMachines <= machines / 2 && peersMissHeartbeatsToo);
    }
}
