package org.granitepath.coordination.ports;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** The cloud as the decision code sees it. Every call answers once, later, on the event loop. */
public interface CloudPort {
    /** How a call ended. {@code UNKNOWN}: no answer, so it may have been carried out. */
    enum Outcome {
        OK,
        NO_CAPACITY,
        REFUSED,
        UNKNOWN
    }

    /** The state of a machine as the cloud lists it. */
    enum MachineState {
        BOOTING,
        RUNNING,
        FAILED
    }

    /** A request for machines; the same {@code idempotencyKey} never launches twice. */
    record LaunchRequest(String idempotencyKey, String type, String zone, boolean spot, int count) {}

    /** The machines that a launch brought. */
    record LaunchResult(Outcome outcome, List<String> machineIds) {}

    /**
     * A machine as the cloud lists it.
     *
     * @param address where its worker answers; null while it boots
     */
    record ListedMachine(
            String id,
            @Nullable String address,
            String type,
            String zone,
            boolean spot,
            MachineState state,
            long ageMicros) {}

    /** A page of the list of machines; it may be out of date. */
    record Listing(Outcome outcome, List<ListedMachine> machines, boolean hasMore) {}

    /** Asks for the machine types; answered with null when they could not be had. */
    void fetchMachineTypes(Consumer<@Nullable List<MachineType>> then);

    /** Launches machines. */
    void launch(LaunchRequest request, Consumer<LaunchResult> then);

    /** Terminates machines; answered with whether they are gone. */
    void terminate(List<String> hosts, Consumer<Boolean> then);

    /** Lists machines by name, beginning after {@code from}. */
    void listMachines(String from, int limit, Consumer<Listing> then);
}
