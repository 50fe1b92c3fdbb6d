package org.granitepath.coordination.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.RecordSize;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;

/**
 * Submissions, polls and cancellations, on any controller. Nothing is promised before it is on record, and nothing
 * that is not final is told without a read barrier.
 */
public final class JobRequestHandler {
    private static final long SUBMIT_TIMEOUT_MICROS = 4_000_000;
    /** A cancellation may have to wait for a leader that is out of reach; users wait for five seconds. */
    private static final long CANCEL_TIMEOUT_MICROS = 4_700_000;

    private static final long POLL_TIMEOUT_MICROS = 1_600_000;
    private static final int MOST_WAITING = 2_000;
    /** This controller's share of the changes; the shares of all add up to more than there is. */
    private static final double WRITE_SHARE = 0.5;

    private static final int RETRY_SECONDS = 2;
    private static final String UNREADABLE = "a record of the job can't be read";

    /** Whoever waits for one outcome; all get the same answer. */
    private static final class PendingAnswers {
        final List<Consumer<JobResponse>> waiting = new ArrayList<>();
    }

    private final Config config;
    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final Timers timers;
    private final WriteQueue writeQueue;
    private final Supplier<Map<String, MachineType>> types;
    /**
     * Told of each cancellation that we have put on record; runs what it is given once the leader starts no more of
     * it.
     */
    private final BiConsumer<PeerPort.CancellationNotice, Runnable> cancelled;

    private final Map<String, PendingAnswers> submitting = new LinkedHashMap<>();
    private final Map<String, PendingAnswers> cancelling = new LinkedHashMap<>();
    private int waiting;

    /** Answers from the replica and the index; writes through a queue of its own. */
    public JobRequestHandler(
            Config config,
            KeyValueStore store,
            RecordReplica replica,
            JobIndex jobIndex,
            Timers timers,
            Supplier<Map<String, MachineType>> types,
            BiConsumer<PeerPort.CancellationNotice, Runnable> cancelled) {
        this.cancelled = cancelled;
        this.config = config;
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.timers = timers;
        this.types = types;
        this.writeQueue = new WriteQueue(
                store,
                replica,
                timers,
                config.limits().store().transactionChanges(),
                config.limits().store().writesPerSecond() * WRITE_SHARE,
                RateControl.ADAPTIVE,
                // An acceptance claims tasks for the leader that we know of: it must be the leader still.
                () -> List.of(new Precondition(Keys.LEADER, replica.revision(Keys.LEADER))),
                () -> true);
    }

    // ---- submissions -------------------------------------------------------------------------------------------

    /** Takes a submission; answered once it is on record, or at once when it can never run. */
    public void submit(JobSpec spec, Consumer<JobResponse> then) {
        if (jobIndex.finalOf(spec.id()) != null) {
            then.accept(status(spec.id(), false));
            return;
        }
        if (!replica.loaded() || waiting >= MOST_WAITING) {
            then.accept(retryLater(replica.loaded() ? "too many requests wait" : "starting"));
            return;
        }
        if (jobIndex.statusUnknown(spec.id())) {
            then.accept(retryLater(UNREADABLE));
            return;
        }
        if (jobIndex.openJob(spec.id()) != null) {
            poll(spec.id(), then);
            return;
        }
        String reason = unschedulableReason(spec);
        if (reason != null) {
            // Another controller may know it already, under a description that can run.
            afterBarrier(
                    then,
                    () -> then.accept(
                            known(spec.id()) ? status(spec.id(), false) : new JobResponse.Unschedulable(reason)));
            return;
        }
        if (types.get().isEmpty()) {
            then.accept(retryLater("machine types are not known yet"));
            return;
        }
        PendingAnswers pending = join(submitting, spec.id(), then, SUBMIT_TIMEOUT_MICROS);
        if (pending.waiting.size() > 1) {
            return;
        }
        String key = Keys.JOB + spec.id();
        writeQueue.enqueue(
                key,
                WriteQueue.Urgency.WORK,
                0,
                () -> {
                    if (known(spec.id())) {
                        resolve(submitting, spec.id(), status(spec.id(), false));
                        return List.of();
                    }
                    return submitting.containsKey(spec.id()) ? List.of(Change.write(key, accepted(spec))) : List.of();
                },
                storeRevision -> resolve(submitting, spec.id(), status(spec.id(), true)));
    }

    private JobRecord accepted(JobSpec spec) {
        LeaderRecord leader = replica.leader();
        return leader == null
                ? new JobRecord(spec, timers.timeOfDayMicros(), 0, 0)
                : new JobRecord(
                        spec, timers.timeOfDayMicros(), config.tuning().firstBlock(spec), leader.fencingToken());
    }

    private static JobRecord longestRecord(JobSpec spec) {
        return new JobRecord(spec, Long.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Why a job can never run, or null. */
    private String unschedulableReason(JobSpec spec) {
        Team team = config.teams().get(spec.team());
        if (team == null) {
            return "unknown team " + spec.team();
        }
        int counted = spec.service() || spec.gang() ? spec.tasks() : 1;
        if ((team.cpuLimit() > 0 && spec.cpuMillis() * counted > team.cpuLimit())
                || (team.gpuLimit() > 0 && spec.gpuMillis() * counted > team.gpuLimit())) {
            return "more than the limit of team " + spec.team();
        }
        if (!types.get().isEmpty() && types.get().values().stream().noneMatch(type -> type.fits(spec))) {
            return "a task fits no allowed machine type";
        }
        int largest = config.limits().store().valueBytes();
        if (RecordSize.of(longestRecord(spec)) > largest) {
            return "its description takes more than the " + largest + " bytes that can be kept of a job";
        }
        if (spec.spread() && spec.tasks() > 1 && (spec.oneZone() || spec.zone() != null)) {
            return "its tasks must be spread over zones and be in one zone";
        }
        return null;
    }

    // ---- polls -------------------------------------------------------------------------------------------------

    /** Tells the state of a job, after a read barrier unless it is final. */
    public void poll(String id, Consumer<JobResponse> then) {
        if (confirming(id)) {
            then.accept(retryLater("its cancellation is being confirmed"));
            return;
        }
        if (jobIndex.finalOf(id) != null) {
            then.accept(status(id, false));
            return;
        }
        afterBarrier(then, () -> {
            if (jobIndex.statusUnknown(id)) {
                then.accept(retryLater(UNREADABLE));
            } else {
                then.accept(known(id) ? status(id, false) : new JobResponse.NotFound());
            }
        });
    }

    // ---- cancellations -----------------------------------------------------------------------------------------

    /** Records a cancellation; answered once no task of the job is started any more. */
    public void cancel(String id, Consumer<JobResponse> then) {
        if (confirming(id)) {
            join(cancelling, id, then, CANCEL_TIMEOUT_MICROS);
            return;
        }
        if (jobIndex.finalOf(id) != null) {
            then.accept(status(id, false));
            return;
        }
        afterBarrier(then, () -> {
            if (jobIndex.statusUnknown(id)) {
                then.accept(retryLater(UNREADABLE));
            } else if (!known(id)) {
                then.accept(new JobResponse.NotFound());
            } else if (jobIndex.finalOf(id) != null) {
                then.accept(status(id, false));
            } else {
                recordCancellation(id, then);
            }
        });
    }

    private void recordCancellation(String id, Consumer<JobResponse> then) {
        PendingAnswers pending = join(cancelling, id, then, CANCEL_TIMEOUT_MICROS);
        if (pending.waiting.size() > 1) {
            return;
        }
        String key = Keys.FINAL + id;
        writeQueue.enqueue(
                key,
                WriteQueue.Urgency.SAFETY,
                0,
                () -> {
                    if (jobIndex.finalOf(id) != null) {
                        confirm(id);
                        return List.of();
                    }
                    return cancelling.containsKey(id)
                            ? List.of(Change.write(key, new FinalRecord(FinalRecord.Outcome.CANCELLED)))
                            : List.of();
                },
                storeRevision -> confirm(id));
    }

    /** Its cancellation is on record, and whoever asked for it has no answer yet. */
    private boolean confirming(String id) {
        return jobIndex.finalOf(id) == FinalRecord.Outcome.CANCELLED && cancelling.containsKey(id);
    }

    /**
     * It is on record how the job ended. The answer to a cancellation promises that no task starts any more, and the
     * leader may be out of contact with the records: so it is told first.
     */
    private void confirm(String id) {
        if (jobIndex.finalOf(id) == FinalRecord.Outcome.CANCELLED) {
            cancelled.accept(
                    new PeerPort.CancellationNotice(id, replica.revision(Keys.FINAL + id)),
                    () -> resolve(cancelling, id, status(id, false)));
        } else {
            resolve(cancelling, id, status(id, false));
        }
    }

    // ---- helpers -----------------------------------------------------------------------------------------------

    private boolean known(String id) {
        return jobIndex.openJob(id) != null || jobIndex.finalOf(id) != null;
    }

    private JobResponse.Status status(String id, boolean created) {
        FinalRecord.Outcome how = jobIndex.finalOf(id);
        if (how != null) {
            return new JobResponse.Status(
                    created, id, how == FinalRecord.Outcome.DONE ? JobState.DONE : JobState.CANCELLED, 0, 0);
        }
        ProgressRecord progress = jobIndex.progressOf(id);
        int done = ProgressRecord.count(progress.done());
        boolean running = progress.running() > 0;
        return new JobResponse.Status(
                created, id, running ? JobState.RUNNING : JobState.PENDING, done, progress.running());
    }

    /** Runs {@code action} once the replica is as new as this moment, or answers that it can't be told now. */
    private void afterBarrier(Consumer<JobResponse> then, Runnable action) {
        if (waiting >= MOST_WAITING) {
            then.accept(retryLater("too many requests wait"));
            return;
        }
        waiting++;
        boolean[] answered = new boolean[1];
        timers.after(POLL_TIMEOUT_MICROS, () -> {
            if (!answered[0]) {
                answered[0] = true;
                waiting--;
                then.accept(retryLater("the state service does not answer"));
            }
        });
        replica.barrier(isFresh -> {
            if (!answered[0]) {
                answered[0] = true;
                waiting--;
                if (isFresh) {
                    action.run();
                } else {
                    then.accept(retryLater("the state service does not answer"));
                }
            }
        });
    }

    private PendingAnswers join(
            Map<String, PendingAnswers> map, String id, Consumer<JobResponse> then, long timeoutMicros) {
        PendingAnswers pending = map.computeIfAbsent(id, k -> new PendingAnswers());
        pending.waiting.add(then);
        waiting++;
        timers.after(timeoutMicros, () -> {
            if (map.get(id) == pending && pending.waiting.remove(then)) {
                waiting--;
                if (pending.waiting.isEmpty()) {
                    map.remove(id);
                }
                then.accept(retryLater("not on record yet"));
            }
        });
        return pending;
    }

    private void resolve(Map<String, PendingAnswers> map, String id, JobResponse answer) {
        PendingAnswers pending = map.remove(id);
        if (pending != null) {
            waiting -= pending.waiting.size();
            for (Consumer<JobResponse> then : pending.waiting) {
                then.accept(answer);
            }
        }
    }

    static JobResponse retryLater(String reason) {
        return new JobResponse.RetryLater(reason, RETRY_SECONDS);
    }
}
