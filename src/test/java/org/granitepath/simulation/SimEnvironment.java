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

/** Simulated time and network. Everything that happens follows from the seed. */
final class SimEnvironment {
    private record Event(long atMicros, long sequence, Runnable action) {}

    /** What a cut does with packets under way: keeps them for later, or loses them. */
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
    /** How often each host's process has ended: what one has asked, its successor gets no answer to. */
    private final Map<String, Integer> processEnds = new HashMap<>();
    /** Hosts that stand still while their clocks run on, each with the packets and the timers that wait. */
    private final Map<String, ArrayDeque<Runnable>> packetsOfPausedHosts = new HashMap<>();

    private final Map<String, ArrayDeque<Runnable>> timersOfPausedHosts = new HashMap<>();
    /** Share of requests of which a copy arrives once more, much later. */
    double duplicateRequestShare;
    /** Share of packets that are held up for seconds. */
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

    /** Does this so much later than now. */
    void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), nextSequence++, action));
    }

    /** Runs until {@code end}; {@code check} after each step. */
    void run(long endMicros, Runnable check) {
        while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
            check.run();
        }
        nowMicros = endMicros;
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    /** Both directions. */
    void partition(String one, String other, PartitionMode mode) {
        partitions.put(link(one, other), mode);
        partitions.put(link(other, one), mode);
    }

    /** One direction only. */
    void blockOneWay(String from, String to) {
        partitions.put(link(from, to), PartitionMode.DROP);
    }

    /** Packets pass again, those first that were kept. */
    void heal(String one, String other) {
        for (String direction : List.of(link(one, other), link(other, one))) {
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

    /** The host's process ends, or a new one is there. */
    void setProcessDown(String host, boolean isDown) {
        if (isDown) {
            downHosts.add(host);
            processEnds.merge(host, 1, Integer::sum);
        } else {
            downHosts.remove(host);
        }
    }

    /** One packet. It arrives late, once, or not at all. */
    void send(String from, String to, Runnable packet) {
        PartitionMode partition = partitions.get(link(from, to));
        if (downHosts.contains(to) || partition == PartitionMode.DROP) {
            return;
        }
        if (partition == PartitionMode.HOLD) {
            heldPackets
                    .computeIfAbsent(link(from, to), direction -> new ArrayDeque<>())
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

    /** A timer of a host: while it stands still, timers are due but do not fire. */
    void runTimer(String host, Runnable timer) {
        if (timersOfPausedHosts.containsKey(host)) {
            timersOfPausedHosts.get(host).add(timer);
        } else {
            timer.run();
        }
    }

    /** The host stands still while its clock runs on. */
    void pause(String host) {
        packetsOfPausedHosts.putIfAbsent(host, new ArrayDeque<>());
        timersOfPausedHosts.putIfAbsent(host, new ArrayDeque<>());
    }

    /** What has waited comes at once, packets first: no timer has told the host yet how late it is. */
    void resume(String host) {
        ArrayDeque<Runnable> packets = packetsOfPausedHosts.remove(host);
        ArrayDeque<Runnable> timers = timersOfPausedHosts.remove(host);
        if (packets != null) {
            packets.forEach(packet -> after(100, packet));
            timers.forEach(timer -> after(200, timer));
        }
    }

    /** A request and its answer. {@code then} is told null when nothing came in time. */
    <T> void call(String from, String to, long timeoutMicros, Supplier<T> serve, Consumer<T> callback) {
        callAsync(from, to, timeoutMicros, answer -> answer.accept(serve.get()), callback);
    }

    /** The same, where the other side answers when it likes. */
    <T> void callAsync(String from, String to, long timeoutMicros, Consumer<Consumer<T>> serve, Consumer<T> callback) {
        PendingCall<T> call = new PendingCall<>(from, callback);
        send(from, to, () -> serve.accept(answer -> send(to, from, () -> call.finish(answer))));
        if (duplicateRequestShare > 0 && random.nextDouble() < duplicateRequestShare) {
            after(100_000 + random.nextInt(60_000_000), () -> serve.accept(ignored -> {}));
        }
        after(timeoutMicros, () -> runTimer(from, () -> call.finish(null)));
    }

    /** A request of one process: its answer or its timeout counts, whichever is first, unless the process has ended. */
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
