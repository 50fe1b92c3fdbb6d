package org.granitepath.coordination;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.bookkeeping.MachineType;

/** The cloud as the decision code sees it. Every call answers once, later, on the event loop. */
public interface CloudPort {
    enum Outcome {
        OK,
        NO_CAPACITY,
        REFUSED,
        UNKNOWN
    }

    enum HostState {
        BOOTING,
        RUNNING,
        FAILED
    }

    record Rental(String booking, String type, String zone, boolean spot, int count) {}

    record Rented(Outcome outcome, List<String> hosts) {}

    record ListedHost(
            String id, String address, String type, String zone, boolean spot, HostState state, long ageMicros) {}

    record Listing(Outcome outcome, List<ListedHost> hosts, boolean more) {}

    /** Null when the types could not be had. */
    void types(Consumer<List<MachineType>> then);

    void rent(Rental rental, Consumer<Rented> then);

    void returnMachines(List<String> hosts, Consumer<Boolean> then);

    void list(String from, int limit, Consumer<Listing> then);
}
