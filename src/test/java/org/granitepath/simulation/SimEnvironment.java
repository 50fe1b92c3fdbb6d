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
    private record Event(long at, long order, Runnable action) {}

    /** What a cut does with packets under way: keeps them for later, or loses them. */
    enum PartitionMode {
        HOLD,
        DROP
    }

    final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (one, other) -> one.at != other.at ? Long.compare(one.at, other.at) : Long.compare(one.order, other.order));
    private final Map<String, PartitionMode> cuts = new HashMap<>();
    private final Map<String, ArrayDeque<Runnable>> held = new HashMap<>();
    private final Set<String> down = new HashSet<>();
    /** How often each host's process has ended: what one has asked, its successor gets no answer to. */
    private final Map<String, Integer> ended = new HashMap<>();
    /** Hosts that stand still while their clocks run on, each with the packets and the timers that wait. */
    private final Map<String, ArrayDeque<Runnable>> frozenPackets = new HashMap<>();

    private final Map<String, ArrayDeque<Runnable>> frozenTimers = new HashMap<>();
    /** Share of requests of which a copy arrives once more, much later. */
    double duplicateRequestShare;
    /** Share of packets that are held up for seconds. */
    double delayedPacketShare;

    private long nowMicros;
    private long order;

    SimEnvironment(long seed) {
        random = new Random(seed);
    }

    /** The simulated time, in microseconds. */
    long nowMicros() {
        return nowMicros;
    }

    /** Does this so much later than now. */
    void after(long delay, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delay), order++, action));
    }

    /** Runs until {@code end}; {@code check} after each step. */
    void run(long end, Runnable check) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            nowMicros = event.at;
            event.action.run();
            check.run();
        }
        nowMicros = end;
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    /** Both directions. */
    void partition(String one, String other, PartitionMode how) {
        cuts.put(link(one, other), how);
        cuts.put(link(other, one), how);
    }

    /** One direction only. */
    void blockOneWay(String from, String to) {
        cuts.put(link(from, to), PartitionMode.DROP);
    }

    /** Packets pass again, those first that were kept. */
    void heal(String one, String other) {
        for (String direction : List.of(link(one, other), link(other, one))) {
            cuts.remove(direction);
            ArrayDeque<Runnable> queue = held.remove(direction);
            if (queue != null) {
                String to = direction.substring(direction.indexOf('>') + 1);
                for (Runnable packet : new ArrayList<>(queue)) {
                    after(1_000 + random.nextInt(5_000), () -> arrive(to, packet));
                }
            }
        }
    }

    /** The host's process ends, or a new one is there. */
    void setProcessDown(String host, boolean isDown) {
        if (isDown) {
            down.add(host);
            ended.merge(host, 1, Integer::sum);
        } else {
            down.remove(host);
        }
    }

    /** One packet. It arrives late, once, or not at all. */
    void send(String from, String to, Runnable arrive) {
        PartitionMode cut = cuts.get(link(from, to));
        if (down.contains(to) || cut == PartitionMode.DROP) {
            return;
        }
        if (cut == PartitionMode.HOLD) {
            held.computeIfAbsent(link(from, to), direction -> new ArrayDeque<>())
                    .add(arrive);
            return;
        }
        long delay = 300L + random.nextInt(4_000) + (random.nextInt(500) == 0 ? 400_000 : 0);
        long more = delayedPacketShare > 0 && random.nextDouble() < delayedPacketShare
                ? 1_000_000L + random.nextInt(9_000_000)
                : 0;
        after(delay + more, () -> arrive(to, arrive));
    }

    private void arrive(String host, Runnable packet) {
        if (frozenPackets.containsKey(host)) {
            frozenPackets.get(host).add(packet);
        } else {
            packet.run();
        }
    }

    /** A timer of a host: while it stands still, timers are due but do not fire. */
    void runTimer(String host, Runnable timer) {
        if (frozenTimers.containsKey(host)) {
            frozenTimers.get(host).add(timer);
        } else {
            timer.run();
        }
    }

    /** The host stands still while its clock runs on. */
    void pause(String host) {
        frozenPackets.putIfAbsent(host, new ArrayDeque<>());
        frozenTimers.putIfAbsent(host, new ArrayDeque<>());
    }

    /** What has waited comes at once, packets first: no timer has told the host yet how late it is. */
    void resume(String host) {
        ArrayDeque<Runnable> packets = frozenPackets.remove(host);
        ArrayDeque<Runnable> timers = frozenTimers.remove(host);
        if (packets != null) {
            packets.forEach(packet -> after(100, packet));
            timers.forEach(timer -> after(200, timer));
        }
    }

    /** A request and its answer. {@code then} is told null when nothing came in time. */
    <T> void call(String from, String to, long timeout, Supplier<T> serve, Consumer<T> then) {
        callAsync(from, to, timeout, answer -> answer.accept(serve.get()), then);
    }

    /** The same, where the other side answers when it likes. */
    <T> void callAsync(String from, String to, long timeout, Consumer<Consumer<T>> serve, Consumer<T> then) {
        PendingCall<T> call = new PendingCall<>(from, then);
        send(from, to, () -> serve.accept(answer -> send(to, from, () -> call.finish(answer))));
        if (duplicateRequestShare > 0 && random.nextDouble() < duplicateRequestShare) {
            after(100_000 + random.nextInt(60_000_000), () -> serve.accept(ignored -> {}));
        }
        after(timeout, () -> runTimer(from, () -> call.finish(null)));
    }

    /** A request of one process: its answer or its timeout counts, whichever is first, unless the process has ended. */
    private final class PendingCall<T> {
        private final String from;
        private final int process;
        private final Consumer<T> then;
        private boolean finished;

        PendingCall(String from, Consumer<T> then) {
            this.from = from;
            this.process = endedProcesses(from);
            this.then = then;
        }

        void finish(@Nullable T answer) {
            if (!finished && process == endedProcesses(from)) {
                finished = true;
                then.accept(answer);
            }
        }
    }

    private int endedProcesses(String host) {
        return ended.getOrDefault(host, 0);
    }
}
