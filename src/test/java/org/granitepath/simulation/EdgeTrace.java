package org.granitepath.simulation;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.protocol.CloudCodec;
import org.granitepath.protocol.Json;
import org.granitepath.protocol.KeyValueStoreCodec;
import org.granitepath.protocol.PeerCodec;
import org.granitepath.protocol.SubmissionCodec;
import org.granitepath.protocol.WorkerCodec;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/**
 * A hash of everything that leaves the controllers of one simulation, in order: calls to the store, the cloud, workers
 * and peers, and responses to workers and users, each with its simulated time and encoded as on the wire. Log messages
 * are not hashed. The names of the kinds of calls are, so they must not change. Two versions of the program with the
 * same hash have the same external behaviour in that simulation.
 */
final class EdgeTrace {
    private static final ThreadLocal<List<EdgeTrace>> ACTIVE_COLLECTOR = new ThreadLocal<>();

    private final SimEnvironment environment;
    private final Hasher hasher = Hashing.sha256().newHasher();
    private long eventCount;

    private EdgeTrace(SimEnvironment environment) {
        this.environment = environment;
    }

    /** The trace of a new simulation; null unless {@link #collect} is running, so that other tests have no overhead. */
    static @Nullable EdgeTrace createIfCollecting(SimEnvironment environment) {
        List<EdgeTrace> collector = ACTIVE_COLLECTOR.get();
        if (collector == null) {
            return null;
        }
        EdgeTrace trace = new EdgeTrace(environment);
        collector.add(trace);
        return trace;
    }

    /** Runs a scenario and returns the traces of the simulations that it creates, in order. */
    static List<EdgeTrace> collect(Runnable scenario) {
        List<EdgeTrace> traces = new ArrayList<>();
        ACTIVE_COLLECTOR.set(traces);
        try {
            scenario.run();
        } finally {
            ACTIVE_COLLECTOR.remove();
        }
        return traces;
    }

    /** How many calls and responses were added to the trace. */
    long eventCount() {
        return eventCount;
    }

    /** The SHA-256 hash of the whole trace in hexadecimal. No event can be added afterwards. */
    String digest() {
        return hasher.hash().toString();
    }

    private void add(String node, String kind, String detail) {
        add(node, kind, detail.getBytes(StandardCharsets.UTF_8));
    }

    private void add(String node, String kind, byte[] detail) {
        eventCount++;
        hasher.putLong(environment.nowMicros());
        hasher.putUnencodedChars(node).putChar('\n');
        hasher.putUnencodedChars(kind).putChar('\n');
        hasher.putInt(detail.length).putBytes(detail);
    }

    /** Sorts the fields of objects, because their order has no meaning and may differ between processes. */
    private static String sorted(String json) {
        return Json.encode(sorted(Json.decodeObject(json)));
    }

    private static Object sorted(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> fields = new TreeMap<>();
            map.forEach((name, field) -> fields.put(String.valueOf(name), sorted(field)));
            return fields;
        }
        return value instanceof List<?> list
                ? list.stream().map(EdgeTrace::sorted).toList()
                : value;
    }

    void recordHeartbeatResponse(String node, String host, HeartbeatResponse answer) {
        add(node, "heartbeat " + host + " " + WorkerCodec.httpStatus(answer), WorkerCodec.encode(answer));
    }

    /** Wraps the callback for responses to a user so that the trace records each response. */
    Consumer<JobResponse> tracingUserResponses(String node, String user, Consumer<JobResponse> then) {
        return answer -> {
            String retry = answer instanceof JobResponse.RetryLater later ? " " + later.afterSeconds() : "";
            add(node, user + " " + SubmissionCodec.httpStatus(answer) + retry, SubmissionCodec.encode(answer));
            then.accept(answer);
        };
    }

    KeyValueStore tracing(String node, KeyValueStore port) {
        return new KeyValueStore() {
            @Override
            public void commit(Transaction transaction, Consumer<CommitResult> then) {
                add(node, "commit", sorted(KeyValueStoreCodec.encodeTransaction(transaction)));
                port.commit(transaction, then);
            }

            @Override
            public void list(String prefix, String from, int limit, Consumer<Page> then) {
                add(node, "list", prefix + " " + from + " " + limit);
                port.list(prefix, from, limit, then);
            }

            @Override
            public void follow(String prefix, long from, long waitMicros, Consumer<Page> then) {
                add(node, "follow", prefix + " " + from + " " + waitMicros);
                port.follow(prefix, from, waitMicros, then);
            }

            @Override
            public void openLease(long lifeMicros, Consumer<LeaseResult> then) {
                add(node, "open lease", KeyValueStoreCodec.encodeLeaseRequest(lifeMicros));
                port.openLease(lifeMicros, then);
            }

            @Override
            public void renewLease(long lease, Consumer<Outcome> then) {
                add(node, "renew lease", String.valueOf(lease));
                port.renewLease(lease, then);
            }
        };
    }

    CloudPort tracing(String node, CloudPort port) {
        return new CloudPort() {
            @Override
            public void fetchMachineTypes(Consumer<List<MachineType>> then) {
                add(node, "machine types", "");
                port.fetchMachineTypes(then);
            }

            @Override
            public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
                add(node, "rent", sorted(CloudCodec.encodeLaunch(request)));
                port.launch(request, then);
            }

            @Override
            public void terminate(List<String> hosts, Consumer<Boolean> then) {
                add(node, "return", CloudCodec.encodeTermination(hosts));
                port.terminate(hosts, then);
            }

            @Override
            public void listMachines(String from, int limit, Consumer<Listing> then) {
                add(node, "list machines", from + " " + limit);
                port.listMachines(from, limit, then);
            }
        };
    }

    WorkerPort tracing(String node, WorkerPort port) {
        return (address, fencingToken, agentEpoch, commands, then) -> {
            add(node, "command " + address, WorkerCodec.encodeCommands(fencingToken, agentEpoch, commands));
            port.sendCommands(address, fencingToken, agentEpoch, commands, then);
        };
    }

    PeerPort tracing(String node, PeerPort port) {
        return new PeerPort() {
            @Override
            public void sendCancellation(String peer, CancellationNotice notice, Consumer<Boolean> then) {
                add(node, "cancellation to " + peer, PeerCodec.encode(notice));
                port.sendCancellation(peer, notice, then);
            }

            @Override
            public void exchangeStatus(String peer, PeerStatus ownStatus, Consumer<PeerStatus> then) {
                add(node, "status to " + peer, PeerCodec.encode(ownStatus));
                port.exchangeStatus(peer, ownStatus, then);
            }
        };
    }
}
