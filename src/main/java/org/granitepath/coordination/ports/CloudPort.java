package org.granitepath.coordination.ports;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/**
 * Calls to the cloud. Every call returns at once and passes its result to {@code callback} exactly once, later, on the
 * event loop.
 */
public interface CloudPort {
    /** The outcome of a call. */
    enum Outcome {
        /** The cloud has executed the call. */
        OK,
        /** The cloud has no machine of the requested type at present. */
        NO_CAPACITY,
        /** The cloud has rejected the call. */
        REFUSED,
        /** No answer was received, so the cloud may have executed the call. */
        UNKNOWN
    }

    /** The state of a machine as the cloud lists it. */
    enum MachineState {
        BOOTING,
        RUNNING,
        FAILED
    }

    /**
     * A request to launch machines.
     *
     * @param idempotencyKey the cloud executes requests with the same key only once
     * @param type the name of the machine type
     * @param spot whether to launch spot instances
     * @param count the number of machines
     */
    record LaunchRequest(String idempotencyKey, String type, String zone, boolean spot, int count) {}

    /**
     * The result of a launch.
     *
     * @param machineIds the ids of the machines that were launched
     */
    record LaunchResult(Outcome outcome, List<String> machineIds) {}

    /**
     * A machine as the cloud lists it.
     *
     * @param address the address of the machine's worker, or null while the machine boots
     * @param type the name of the machine type
     * @param ageMicros the time since the launch, in microseconds
     */
    record ListedMachine(
            String id,
            @Nullable String address,
            String type,
            String zone,
            boolean spot,
            MachineState state,
            long ageMicros) {}

    /**
     * A page of the list of machines. It may be out of date.
     *
     * @param hasMore whether more pages follow
     */
    record Listing(Outcome outcome, List<ListedMachine> machines, boolean hasMore) {}

    /** Fetches the machine types. {@code callback} receives null if they could not be fetched. */
    void fetchMachineTypes(Consumer<@Nullable List<MachineType>> callback);

    /** Launches machines of one type in one zone. */
    void launch(LaunchRequest request, Consumer<LaunchResult> callback);

    /** Terminates machines. {@code callback} receives whether the machines are gone. */
    void terminate(List<String> machineIds, Consumer<Boolean> callback);

    /** Lists at most {@code limit} machines in the order of their ids, starting after the id {@code afterId}. */
    void listMachines(String afterId, int limit, Consumer<Listing> callback);
}
