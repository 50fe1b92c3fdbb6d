package org.granitepath.coordination.model;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/**
 * The machines of one leadership term and their types. This class only holds the state; other classes decide on the
 * life cycle of machines.
 */
public final class Fleet {
    /** A heartbeat is overdue when the last one is older than this many heartbeat intervals. */
    private static final double OVERDUE_HEARTBEAT_INTERVALS = 1.5;
    /** At least this share of the machines must be unresponsive before the leader itself may be the one cut off. */
    private static final double MIN_UNRESPONSIVE_SHARE = 0.6;
    /** If a peer redirects fewer machines than this, it proves little, however small the fleet is. */
    private static final int MIN_REDIRECTED_BY_PEER = 2;

    private final Config config;
    private final Timers timers;
    private final long startedMicros;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final DepartedMachines departed = new DepartedMachines();

    /** Creates an empty fleet. The leadership term begins now. */
    public Fleet(Config config, Timers timers) {
        this.config = config;
        this.timers = timers;
        this.startedMicros = timers.nowMicros();
    }

    /** Returns all machines that are not gone, in the order in which they joined. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** Returns the machine with the given name, or null if it is not in the fleet. */
    public @Nullable Machine machine(String id) {
        return machines.get(id);
    }

    /** Returns the known machine types by name. */
    public Map<String, MachineType> types() {
        return types;
    }

    /** Adds or replaces the given machine types and updates the types of all machines. */
    public void updateTypes(List<MachineType> updatedTypes) {
        for (MachineType type : updatedTypes) {
            types.put(type.name(), type);
        }
        for (Machine machine : machines.values()) {
            machine.setType(types.get(machine.typeName()));
        }
    }

    /** Takes over machines from the previous leader. Their tasks are unknown until each machine is confirmed. */
    public void takeOver(List<Machine> takenOver) {
        // A previous leader that has lost contact with the store may keep answering their heartbeats for a while.
        long leaseExpiryMicros = startedMicros
                + config.workers().maxDisconnectedMicros()
                + config.workers().maxLeaseMicros();
        for (Machine machine : takenOver) {
            machine.takeOver(startedMicros, leaseExpiryMicros);
            machines.put(machine.id(), machine);
        }
    }

    /** Creates the machine that sent its first heartbeat, without adding it to the fleet. */
    public Machine newMachine(Heartbeat heartbeat, long fencingToken) {
        Machine machine = new Machine(
                heartbeat.machineId(), heartbeat.address(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        machine.setType(types.get(machine.typeName()));
        machine.joinFleet(fencingToken, timers.nowMicros());
        return machine;
    }

    /** Adds a machine to the fleet. */
    public void add(Machine machine) {
        machines.put(machine.id(), machine);
    }

    /** Removes a machine that is gone. Late messages of its worker are recognized from now on. */
    public void remove(Machine machine) {
        machines.remove(machine.id());
        departed.add(machine.id(), machine.contact().agentEpoch());
    }

    /** Notes that the cloud has terminated the machine: any message that still arrives from it is late. */
    public void markTerminated(String id) {
        departed.addPermanently(id);
    }

    /** Returns whether the heartbeat is a delayed copy from a machine that left the fleet. */
    public boolean isFromDepartedMachine(Heartbeat heartbeat) {
        return departed.isFromDepartedMachine(heartbeat);
    }

    /** Returns whether heartbeats of the machine have been missing for so long that a command would hardly arrive. */
    public boolean isUnresponsive(Machine machine, long nowMicros) {
        return machine.contact().isUnresponsive(nowMicros, config.workers().heartbeatIntervalMicros());
    }

    /** Returns whether the machine's heartbeat is so late that the leader should ask for one. */
    public boolean isHeartbeatOverdue(Machine machine, long nowMicros) {
        return nowMicros - machine.contact().lastHeartbeatMicros()
                > OVERDUE_HEARTBEAT_INTERVALS * config.workers().heartbeatIntervalMicros();
    }

    /** Returns whether no machine is known to run an orphaned task that is still to be stopped. */
    public boolean hasNoOrphanedTasks() {
        for (Machine machine : machines.values()) {
            for (WorkerCommand command : machine.cleanupCommands()) {
                if (command.verb() == WorkerCommand.Verb.STOP) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Returns whether most machines have become unresponsive to this leader while a peer receives their heartbeats. The
     * peer should then become the leader before the machines' leases expire.
     *
     * @param redirectedByPeer the highest number of redirected machines that any peer reports; negative: unknown
     */
    public boolean isPartitionedFromWorkers(int redirectedByPeer) {
        long nowMicros = timers.nowMicros();
        int unresponsive = 0;
        for (Machine machine : machines.values()) {
            unresponsive += isUnresponsive(machine, nowMicros) ? 1 : 0;
        }
        return unresponsive >= MIN_UNRESPONSIVE_SHARE * machines.size()
                && redirectedByPeer >= Math.max(MIN_REDIRECTED_BY_PEER, unresponsive / 2)
                && nowMicros - startedMicros > config.workers().leaseMicros();
    }

    /** Excludes a pause of this process from the time in which heartbeats count as missing. */
    public void compensateForPause(long pauseMicros, long nowMicros) {
        for (Machine machine : machines.values()) {
            machine.contact().compensateForPause(pauseMicros, nowMicros);
        }
    }
}
