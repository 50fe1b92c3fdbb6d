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

/** The machines of one term of leadership and their types. Holds state only; life cycles are kept elsewhere. */
public final class Fleet {
    private static final double OVERDUE_HEARTBEAT_INTERVALS = 1.5;
    /** Share of all machines that must be unresponsive before the leader itself may be the one cut off. */
    private static final double MIN_UNRESPONSIVE_SHARE = 0.6;
    /** A peer that redirects fewer of them proves little, however small the fleet is. */
    private static final int MIN_REDIRECTED_BY_PEER = 2;

    private final Config config;
    private final Timers timers;
    private final long startedMicros;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final DepartedMachines departed = new DepartedMachines();

    /** A fleet without machines, as of now. */
    public Fleet(Config config, Timers timers) {
        this.config = config;
        this.timers = timers;
        this.startedMicros = timers.nowMicros();
    }

    /** All machines that are not gone, in the order in which they joined. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine of this name, or null. */
    public @Nullable Machine machine(String id) {
        return machines.get(id);
    }

    /** The machine types that are known, by name. */
    public Map<String, MachineType> types() {
        return types;
    }

    /** The cloud has told of its machine types. */
    public void updateTypes(List<MachineType> list) {
        for (MachineType type : list) {
            types.put(type.name(), type);
        }
        for (Machine machine : machines.values()) {
            machine.setType(types.get(machine.typeName()));
        }
    }

    /** Takes over machines of a former leader; their tasks are unknown until each is confirmed. */
    public void takeOver(List<Machine> takenOver) {
        // The former leader may go on answering them for a while, if it is out of contact.
        long leaseExpiryMicros = startedMicros
                + config.workers().maxDisconnectedMicros()
                + config.workers().maxLeaseMicros();
        for (Machine machine : takenOver) {
            machine.takeOver(startedMicros, leaseExpiryMicros);
            machines.put(machine.id(), machine);
        }
    }

    /** The machine of a first heartbeat, which is not in the fleet yet. */
    public Machine newMachine(Heartbeat heartbeat, long fencingToken) {
        Machine machine = new Machine(
                heartbeat.machineId(), heartbeat.address(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        machine.setType(types.get(machine.typeName()));
        machine.joinFleet(fencingToken, timers.nowMicros());
        return machine;
    }

    /** The machine belongs to the fleet from now on. */
    public void add(Machine machine) {
        machines.put(machine.id(), machine);
    }

    /** The machine is gone; late messages of its worker are known as such. */
    public void remove(Machine machine) {
        machines.remove(machine.id());
        departed.add(machine.id(), machine.contact().agentEpoch());
    }

    /** The cloud took this machine back: whatever still arrives of it is late. */
    public void markTerminated(String id) {
        departed.addPermanently(id);
    }

    /** Whether a heartbeat is a late copy from a machine that is gone. */
    public boolean isFromDepartedMachine(Heartbeat heartbeat) {
        return departed.isFromDepartedMachine(heartbeat);
    }

    /** Whether heartbeats of the machine are missing for so long that a command would hardly arrive. */
    public boolean isUnresponsive(Machine machine, long nowMicros) {
        return machine.contact().isUnresponsive(nowMicros, config.workers().heartbeatIntervalMicros());
    }

    /** Whether a heartbeat is late by so much that it is worth asking for one. */
    public boolean isHeartbeatOverdue(Machine machine, long nowMicros) {
        return nowMicros - machine.contact().lastHeartbeatMicros()
                > OVERDUE_HEARTBEAT_INTERVALS * config.workers().heartbeatIntervalMicros();
    }

    /** Whether no machine is known to run a task that is nobody's and still to be stopped. */
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
     * Whether most machines have become unresponsive to us while a peer gets their heartbeats: then it had better lead,
     * before their leases run out.
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

    /** This process stood still: no heartbeat counts as missing in that time. */
    public void compensateForPause(long pauseMicros, long nowMicros) {
        for (Machine machine : machines.values()) {
            machine.contact().compensateForPause(pauseMicros, nowMicros);
        }
    }
}
