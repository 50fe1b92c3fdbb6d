package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.granitepath.protocol.Json;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.RecordSize;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.StoredRecordCodec;
import org.granitepath.storage.Timers;
import org.granitepath.storage.UnknownRecord;
import org.granitepath.storage.WriteQueue;
import org.granitepath.storage.WriteQueue.Urgency;
import org.junit.jupiter.api.Test;

/** Tests that controllers respect the store's rate and size limits when they have far more to read or write. */
class StoreLimitsTest {
    private static final int MAX_TRANSACTION_CHANGES = 8;
    private static final StoredRecord SOME_RECORD = new UnknownRecord(Map.of("x", 1));

    private final SimEnvironment environment = new SimEnvironment(1);
    private final SimStore store = new SimStore(environment, MAX_TRANSACTION_CHANGES, 2048, 1000, 200);
    private final Timers timers = new Timers() {
        @Override
        public long nowMicros() {
            return environment.nowMicros();
        }

        @Override
        public long timeOfDayMicros() {
            return environment.nowMicros();
        }

        @Override
        public void after(long delayMicros, Runnable action) {
            environment.after(delayMicros, action);
        }
    };

    private RecordReplica replica() {
        RecordReplica replica = replicaOf(store, "n");
        environment.run(1_000_000, () -> {});
        return replica;
    }

    private RecordReplica replicaOf(SimStore simStore, String node) {
        RecordReplica replica = new RecordReplica(simStore.portFor(node), timers, 50_000, new RecordReplica.Listener() {
            @Override
            public void onRecordChanged(String key, StoredRecord record, long revision) {}

            @Override
            public void onLoaded() {}
        });
        replica.start();
        return replica;
    }

    private WriteQueue writeQueue(
            SimStore simStore, String node, RecordReplica replica, double writesPerSecond, RateControl control) {
        return new WriteQueue(
                simStore.portFor(node),
                replica,
                timers,
                MAX_TRANSACTION_CHANGES,
                writesPerSecond,
                control,
                List::of,
                () -> true);
    }

    /**
     * Barriers and long polls share the read rate. They once ran concurrently, each at the full rate, while the records
     * changed.
     */
    @Test
    void barriersAndLongPollsShareTheReadRate() {
        RecordReplica replica = replica();
        WriteQueue writeQueue = writeQueue(store, "n", replica, 20, RateControl.FIXED);
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < 2_000; i++) {
            environment.after(i * 5_000L, () -> replica.requestBarrier(fresh -> answered.addAndGet(fresh ? 1 : 0)));
        }
        for (int i = 0; i < 150; i++) {
            String key = "g/n/" + i;
            environment.after(
                    i * 66_000L,
                    () -> writeQueue.enqueue(
                            key, Urgency.WORK, 0, () -> List.of(Change.write(key, SOME_RECORD)), storeRevision -> {}));
        }
        int before = store.followRequestCount();
        environment.run(14_000_000, () -> {});

        assertEquals(2_000, answered.get());
        assertTrue(
                store.followRequestCount() - before <= 10_000_000 / 50_000 * 1.1,
                store.followRequestCount() - before + " reads in 10 s");
    }

    @Test
    void safetyWriteOvertakesQueuedWritesThatAreNotRebuilt() {
        RecordReplica replica = replica();
        WriteQueue writeQueue = writeQueue(store, "n", replica, 10, RateControl.FIXED);
        List<String> written = new ArrayList<>();
        AtomicInteger buildCount = new AtomicInteger();
        for (int i = 0; i < 300; i++) {
            String key = "g/n/" + i;
            writeQueue.enqueue(
                    key,
                    Urgency.PROGRESS_ONLY,
                    0,
                    () -> {
                        buildCount.incrementAndGet();
                        return List.of(Change.write(key, SOME_RECORD));
                    },
                    storeRevision -> written.add(key));
        }
        environment.run(3_000_000, () -> {});
        writeQueue.enqueue(
                "g/safe",
                Urgency.SAFETY,
                0,
                () -> List.of(Change.write("g/safe", SOME_RECORD)),
                storeRevision -> written.add("g/safe"));
        environment.run(3_300_000, () -> {});

        assertTrue(written.contains("g/safe"), "the urgent write waits behind progress writes");
        environment.run(61_000_000, () -> {});

        assertEquals(301, written.size());
        assertTrue(buildCount.get() <= 310, "the changes were built " + buildCount + " times");
    }

    /** Request handlers of five controllers need more writes than the store allows; the leader still gets its rate. */
    @Test
    void adaptiveWritersYieldToTheLeader() {
        SimStore limitedStore = new SimStore(environment, MAX_TRANSACTION_CHANGES, 2048, 1000, 18);
        AtomicInteger writesOfLeader = new AtomicInteger();
        for (int number = 0; number < 6; number++) {
            String node = "n" + number;
            String prefix = "g/" + number + "/";
            boolean leads = number == 0;
            RecordReplica replica = replicaOf(limitedStore, node);
            double writesPerSecond = leads ? 11.7 : 9;
            RateControl control = leads ? RateControl.FIXED : RateControl.ADAPTIVE;
            WriteQueue writeQueue = writeQueue(limitedStore, node, replica, writesPerSecond, control);
            for (int i = 0; i < 900; i++) {
                String key = prefix + i;
                environment.after(
                        1_000_000 + i * 60_000L,
                        () -> writeQueue.enqueue(
                                key,
                                Urgency.WORK,
                                0,
                                () -> List.of(Change.write(key, SOME_RECORD)),
                                storeRevision -> writesOfLeader.addAndGet(leads ? 1 : 0)));
            }
        }
        environment.run(61_000_000, () -> {});

        assertTrue(writesOfLeader.get() > 60 * 7, writesOfLeader + " writes of the leader in a minute");
    }

    /** A write that the store can never accept is abandoned, and all other writes succeed. */
    @Test
    void rejectedWriteIsAbandonedAndDelaysNoOtherWrite() {
        RecordReplica replica = replica();
        WriteQueue writeQueue = writeQueue(store, "n", replica, 20, RateControl.FIXED);
        List<String> written = new ArrayList<>();
        AtomicInteger buildCount = new AtomicInteger();
        StoredRecord large = new UnknownRecord(Map.of("x", "y".repeat(3_000)));
        for (int i = 0; i < 12; i++) {
            String key = "g/n/" + i;
            boolean tooLarge = i == 5;
            writeQueue.enqueue(
                    key,
                    Urgency.WORK,
                    0,
                    () -> {
                        buildCount.addAndGet(tooLarge ? 1 : 0);
                        return List.of(Change.write(key, tooLarge ? large : SOME_RECORD));
                    },
                    storeRevision -> written.add(key));
        }
        environment.run(20_000_000, () -> {});

        assertEquals(11, written.size());
        assertTrue(buildCount.get() <= 8, "sent " + buildCount + " times");
    }

    /** Finished and unfinished tasks of a job alternate: its progress record is cut down to the longest ranges. */
    @Test
    void progressRecordIsReducedToTheValueLimit() {
        RangeSet<Integer> done = TreeRangeSet.create();
        for (int task = 0; task < 2_000; task += 2) {
            ProgressRecord.addTask(done, task);
        }
        done.add(Range.closedOpen(3_000, 3_500));
        ProgressRecord whole = new ProgressRecord("n", 5_000, done, 12);
        ProgressRecord kept = whole.truncatedTo(2048);
        assertTrue(Json.encode(StoredRecordCodec.encode(kept)).length() <= 2048);
        assertTrue(kept.doneTasks().encloses(Range.closedOpen(3_000, 3_500)));
        assertTrue(ProgressRecord.count(kept.doneTasks()) > 600, ProgressRecord.count(kept.doneTasks()) + " kept");
        assertEquals(whole, whole.truncatedTo(100_000));
    }

    /** The estimated size of a record is at least its encoded size, whatever the record holds. */
    @Test
    void recordSizeIsAnUpperBound() {
        StoredRecord record = new UnknownRecord(
                Map.of("a\"\\/", List.of(1, 2.5, true, "\u0001\u00e9\u4e2d"), "b", Map.of("c", List.of(), "d", -17L)));
        int bytes = Json.encode(StoredRecordCodec.encode(record)).getBytes(StandardCharsets.UTF_8).length;
        assertTrue(RecordSize.of(record) >= bytes, RecordSize.of(record) + " < " + bytes);
    }
}
