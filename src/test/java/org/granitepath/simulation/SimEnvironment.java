package org.granitepath.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * A discrete-event simulation of time and of the network between hosts, single-threaded. The seed determines every
 * delay, loss and draw. All times are in microseconds.
 */
final class SimEnvironment {
    private record Event(long atMicros, long sequence, Runnable action) {}

    /** Whether a partition keeps the packets that are sent during it until it heals, or drops them. */
    enum PartitionMode {
        HOLD,
        DROP
    }

    final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.atMicros != other.atMicros
            ? Long.compare(one.atMicros, other.atMicros)
            : Long.compare(one.sequence, other.sequence));
    private final Map<String, PartitionMode> partitions = new HashMap<>();
    private final Map<String, ArrayDeque<Runnable>> heldPackets = new HashMap<>();
    private final Set<String> downHosts = new HashSet<>();
    /** How many processes of each host have ended: a process does not receive answers to calls of an earlier one. */
    private final Map<String, Integer> processEnds = new HashMap<>();
    /** Packets that have arrived at each host whose process is paused. */
    private final Map<String, ArrayDeque<Runnable>> packetsOfPausedHosts = new HashMap<>();
    /** Timers that have expired at each host whose process is paused. */
    private final Map<String, ArrayDeque<Runnable>> timersOfPausedHosts = new HashMap<>();
    /** Probability that a copy of a request arrives 0.1 to 60.1 s after it was sent; the answer to it is dropped. */
    double duplicateRequestShare;
    /** Probability that a packet is delayed by a further 1 to 10 s. */
    double delayedPacketShare;

    private long nowMicros;
    private long nextSequence;

    SimEnvironment(long seed) {
        random = new Random(seed);
    }

    /** The simulated time, in microseconds. */
    long nowMicros() {
        return nowMicros;
    }

    /** Runs an action after a delay; a negative delay counts as zero. */
    void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), nextSequence++, action));
    }

    /** Runs all events up to and including a time, and a check after each of them. */
    void run(long endMicros, Runnable check) {
        while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
            check.run();
        }
        nowMicros = endMicros;
    }

    private static String linkKey(String from, String to) {
        return from + ">" + to;
    }

    /** Cuts the connection between two hosts in both directions until {@link #heal}. */
    void partition(String one, String other, PartitionMode mode) {
        partitions.put(linkKey(one, other), mode);
        partitions.put(linkKey(other, one), mode);
    }

    /** Drops all packets in one direction until {@link #heal}. */
    void blockOneWay(String from, String to) {
        partitions.put(linkKey(from, to), PartitionMode.DROP);
    }

    /** Restores both directions between two hosts and delivers the packets that the partition kept. */
    void heal(String one, String other) {
        for (String direction : List.of(linkKey(one, other), linkKey(other, one))) {
            partitions.remove(direction);
            ArrayDeque<Runnable> queue = heldPackets.remove(direction);
            if (queue != null) {
                String to = direction.substring(direction.indexOf('>') + 1);
                for (Runnable packet : new ArrayList<>(queue)) {
                    after(1_000 + random.nextInt(5_000), () -> deliver(to, packet));
                }
            }
        }
    }

    /** Records that the process of a host has ended, or that a new one has started. */
    void setProcessDown(String host, boolean isDown) {
        if (isDown) {
            downHosts.add(host);
            processEnds.merge(host, 1, Integer::sum);
        } else {
            downHosts.remove(host);
        }
    }

    /** Sends one packet, which arrives once after a random delay, or is lost if the receiver is down or cut off. */
    void send(String from, String to, Runnable packet) {
        PartitionMode partition = partitions.get(linkKey(from, to));
        if (downHosts.contains(to) || partition == PartitionMode.DROP) {
            return;
        }
        if (partition == PartitionMode.HOLD) {
            heldPackets
                    .computeIfAbsent(linkKey(from, to), direction -> new ArrayDeque<>())
                    .add(packet);
            return;
        }
        long delayMicros = 300L + random.nextInt(4_000) + (random.nextInt(500) == 0 ? 400_000 : 0);
        long extraDelayMicros = delayedPacketShare > 0 && random.nextDouble() < delayedPacketShare
                ? 1_000_000L + random.nextInt(9_000_000)
                : 0;
        after(delayMicros + extraDelayMicros, () -> deliver(to, packet));
    }

    private void deliver(String host, Runnable packet) {
        if (packetsOfPausedHosts.containsKey(host)) {
            packetsOfPausedHosts.get(host).add(packet);
        } else {
            packet.run();
        }
    }

    /** Runs an expired timer of a host, or defers it until the host resumes while its process is paused. */
    void runTimer(String host, Runnable timer) {
        if (timersOfPausedHosts.containsKey(host)) {
            timersOfPausedHosts.get(host).add(timer);
        } else {
            timer.run();
        }
    }

    /** Pauses the process of a host while its clock runs on. */
    void pause(String host) {
        packetsOfPausedHosts.putIfAbsent(host, new ArrayDeque<>());
        timersOfPausedHosts.putIfAbsent(host, new ArrayDeque<>());
    }

    /**
     * Resumes a paused host. Deferred packets arrive before deferred timers, so that the process handles messages
     * before any timer can show it how late it is.
     */
    void resume(String host) {
        ArrayDeque<Runnable> packets = packetsOfPausedHosts.remove(host);
        ArrayDeque<Runnable> timers = timersOfPausedHosts.remove(host);
        if (packets != null) {
            packets.forEach(packet -> after(100, packet));
            timers.forEach(timer -> after(200, timer));
        }
    }

    /** Sends a request and passes its answer, or null after the timeout, to the callback. */
    <T> void call(String from, String to, long timeoutMicros, Supplier<T> serve, Consumer<T> callback) {
        callAsync(from, to, timeoutMicros, answer -> answer.accept(serve.get()), callback);
    }

    /** Sends a request that the receiver may answer later; the callback gets null after the timeout. */
    <T> void callAsync(String from, String to, long timeoutMicros, Consumer<Consumer<T>> serve, Consumer<T> callback) {
        PendingCall<T> call = new PendingCall<>(from, callback);
        send(from, to, () -> serve.accept(answer -> send(to, from, () -> call.finish(answer))));
        if (duplicateRequestShare > 0 && random.nextDouble() < duplicateRequestShare) {
            after(100_000 + random.nextInt(60_000_000), () -> serve.accept(ignored -> {}));
        }
        after(timeoutMicros, () -> runTimer(from, () -> call.finish(null)));
    }

    /**
     * A call of one process. The answer or the timeout completes it, whichever comes first; nothing does once the
     * process that made the call has ended.
     */
    private final class PendingCall<T> {
        private final String from;
        private final int endedProcessesAtStart;
        private final Consumer<T> callback;
        private boolean finished;

        PendingCall(String from, Consumer<T> callback) {
            this.from = from;
            this.endedProcessesAtStart = endedProcessCount(from);
            this.callback = callback;
        }

        void finish(@Nullable T answer) {
            if (!finished && endedProcessesAtStart == endedProcessCount(from)) {
                finished = true;
                callback.accept(answer);
            }
        }
    }

    private int endedProcessCount(String host) {
        return processEnds.getOrDefault(host, 0);
    }
}
