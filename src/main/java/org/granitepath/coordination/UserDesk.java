package org.granitepath.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.granitepath.bookkeeping.Fields;
import org.granitepath.bookkeeping.JobRecord;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.MachineType;
import org.granitepath.bookkeeping.Mirror;
import org.granitepath.bookkeeping.ProgressRecord;
import org.granitepath.bookkeeping.StatePort;
import org.granitepath.bookkeeping.StatePort.Change;
import org.granitepath.bookkeeping.StatePort.Guard;
import org.granitepath.bookkeeping.Timers;
import org.granitepath.coordination.UserAnswer.JobState;

/**
 * Submissions, polls and cancellations, on any controller. Nothing is promised before it is on record, and nothing
 * that is not final is told without a read barrier.
 */
final class UserDesk {
    private static final long SUBMIT_PATIENCE_MICROS = 4_000_000;
    /** A cancellation may have to wait for an owner that is out of reach; users wait for five seconds. */
    private static final long CANCEL_PATIENCE_MICROS = 4_700_000;

    private static final long POLL_PATIENCE_MICROS = 1_600_000;
    private static final int MOST_WAITING = 2_000;
    private static final int RETRY_SECONDS = 2;

    /** Whoever waits for one outcome; all get the same answer. */
    private static final class Tickets {
        final List<Consumer<UserAnswer>> waiting = new ArrayList<>();
    }

    private final Config config;
    private final Mirror mirror;
    private final JobBook book;
    private final Timers timers;
    private final Ledger ledger;
    private final Supplier<Map<String, MachineType>> types;
    /** Told of each cancellation that we have put on record; runs what it is given once the owner starts no more of it. */
    private final BiConsumer<PeerPort.Cancelled, Runnable> cancelled;

    private final Map<String, Tickets> submitting = new LinkedHashMap<>();
    private final Map<String, Tickets> cancelling = new LinkedHashMap<>();
    private int waiting;

    UserDesk(
            Config config,
            StatePort state,
            Mirror mirror,
            JobBook book,
            Timers timers,
            Supplier<Map<String, MachineType>> types,
            BiConsumer<PeerPort.Cancelled, Runnable> cancelled) {
        this.cancelled = cancelled;
        this.config = config;
        this.mirror = mirror;
        this.book = book;
        this.timers = timers;
        this.types = types;
        this.ledger = new Ledger(
                state,
                mirror,
                timers,
                config.txnOps(),
                config.stateWrites() * 0.5,
                true,
                // An acceptance claims tasks for the owner that we know of: it must be the owner still.
                () -> List.of(new Guard(Keys.LEADER, mirror.stamp(Keys.LEADER))),
                () -> true);
    }

    // ---- submissions -------------------------------------------------------------------------------------------

    void submit(JobSpec spec, Consumer<UserAnswer> then) {
        if (book.finalOf(spec.id()) != null) {
            then.accept(status(spec.id(), false));
            return;
        }
        if (!mirror.loaded() || waiting >= MOST_WAITING) {
            then.accept(later(mirror.loaded() ? "too many requests wait" : "starting"));
            return;
        }
        if (book.openJob(spec.id()) != null) {
            poll(spec.id(), then);
            return;
        }
        String reason = impossible(spec);
        if (reason != null) {
            // Another controller may know it already, under a description that can run.
            fresh(
                    then,
                    () -> then.accept(known(spec.id()) ? status(spec.id(), false) : new UserAnswer.Impossible(reason)));
            return;
        }
        if (types.get().isEmpty()) {
            then.accept(later("machine types are not known yet"));
            return;
        }
        Tickets tickets = join(submitting, spec.id(), then, SUBMIT_PATIENCE_MICROS);
        if (tickets.waiting.size() > 1) {
            return;
        }
        String key = Keys.JOB + spec.id();
        ledger.want(
                key,
                Ledger.Urgency.WORK,
                0,
                () -> {
                    if (known(spec.id())) {
                        resolve(submitting, spec.id(), status(spec.id(), false));
                        return List.of();
                    }
                    return submitting.containsKey(spec.id())
                            ? List.of(Change.write(key, accepted(spec).toMap()))
                            : List.of();
                },
                epoch -> resolve(submitting, spec.id(), status(spec.id(), true)));
    }

    private JobRecord accepted(JobSpec spec) {
        Map<String, Object> owner = mirror.value(Keys.LEADER);
        return owner == null
                ? new JobRecord(spec, timers.timeOfDayMicros(), 0, 0)
                : new JobRecord(
                        spec,
                        timers.timeOfDayMicros(),
                        config.tuning().firstBlock(spec),
                        Fields.longOf(owner, "baton", 0));
    }

    /** Why a job can never run, or null. */
    private String impossible(JobSpec spec) {
        Config.Team team = config.teams().get(spec.team());
        if (team == null) {
            return "unknown team " + spec.team();
        }
        int counted = spec.service() || spec.gang() ? spec.tasks() : 1;
        if ((team.cpuLimit() > 0 && spec.cpuMillis() * counted > team.cpuLimit())
                || (team.gpuLimit() > 0 && spec.gpuMillis() * counted > team.gpuLimit())) {
            return "more than the limit of team " + spec.team();
        }
        if (!types.get().isEmpty() && types.get().values().stream().noneMatch(t -> t.fits(spec))) {
            return "a task fits no allowed machine type";
        }
        if (spec.spread() && spec.tasks() > 1 && (spec.oneZone() || spec.zone() != null)) {
            return "its tasks must be spread over zones and be in one zone";
        }
        return null;
    }

    // ---- polls -------------------------------------------------------------------------------------------------

    void poll(String id, Consumer<UserAnswer> then) {
        if (confirming(id)) {
            then.accept(later("its cancellation is being confirmed"));
            return;
        }
        if (book.finalOf(id) != null) {
            then.accept(status(id, false));
            return;
        }
        fresh(then, () -> then.accept(known(id) ? status(id, false) : new UserAnswer.NotFound()));
    }

    // ---- cancellations -----------------------------------------------------------------------------------------

    void cancel(String id, Consumer<UserAnswer> then) {
        if (confirming(id)) {
            join(cancelling, id, then, CANCEL_PATIENCE_MICROS);
            return;
        }
        if (book.finalOf(id) != null) {
            then.accept(status(id, false));
            return;
        }
        fresh(then, () -> {
            if (!known(id)) {
                then.accept(new UserAnswer.NotFound());
            } else if (book.finalOf(id) != null) {
                then.accept(status(id, false));
            } else {
                recordCancellation(id, then);
            }
        });
    }

    private void recordCancellation(String id, Consumer<UserAnswer> then) {
        Tickets tickets = join(cancelling, id, then, CANCEL_PATIENCE_MICROS);
        if (tickets.waiting.size() > 1) {
            return;
        }
        String key = Keys.FINAL + id;
        ledger.want(
                key,
                Ledger.Urgency.SAFETY,
                0,
                () -> {
                    if (book.finalOf(id) != null) {
                        confirm(id);
                        return List.of();
                    }
                    return cancelling.containsKey(id)
                            ? List.of(Change.write(key, JobBook.finalRecord(JobBook.Final.CANCELLED)))
                            : List.of();
                },
                epoch -> confirm(id));
    }

    /** Its cancellation is on record, and whoever asked for it has no answer yet. */
    private boolean confirming(String id) {
        return book.finalOf(id) == JobBook.Final.CANCELLED && cancelling.containsKey(id);
    }

    /**
     * It is on record how the job ended. The answer to a cancellation promises that no task starts any more, and the owner
     * may be out of touch with the records: so it is told first.
     */
    private void confirm(String id) {
        if (book.finalOf(id) == JobBook.Final.CANCELLED) {
            cancelled.accept(
                    new PeerPort.Cancelled(id, mirror.stamp(Keys.FINAL + id)),
                    () -> resolve(cancelling, id, status(id, false)));
        } else {
            resolve(cancelling, id, status(id, false));
        }
    }

    // ---- helpers -----------------------------------------------------------------------------------------------

    private boolean known(String id) {
        return book.openJob(id) != null || book.finalOf(id) != null;
    }

    private UserAnswer.Status status(String id, boolean created) {
        JobBook.Final how = book.finalOf(id);
        if (how != null) {
            return new UserAnswer.Status(
                    created, id, how == JobBook.Final.DONE ? JobState.DONE : JobState.CANCELLED, 0, 0);
        }
        ProgressRecord progress = book.progressOf(id);
        int done = ProgressRecord.count(progress.done());
        boolean running = progress.running() > 0;
        return new UserAnswer.Status(
                created, id, running ? JobState.RUNNING : JobState.PENDING, done, progress.running());
    }

    /** Runs {@code action} once the mirror is as new as this moment, or answers that it can't be told now. */
    private void fresh(Consumer<UserAnswer> then, Runnable action) {
        if (waiting >= MOST_WAITING) {
            then.accept(later("too many requests wait"));
            return;
        }
        waiting++;
        boolean[] answered = new boolean[1];
        timers.after(POLL_PATIENCE_MICROS, () -> {
            if (!answered[0]) {
                answered[0] = true;
                waiting--;
                then.accept(later("the state service does not answer"));
            }
        });
        mirror.barrier(isFresh -> {
            if (!answered[0]) {
                answered[0] = true;
                waiting--;
                if (isFresh) {
                    action.run();
                } else {
                    then.accept(later("the state service does not answer"));
                }
            }
        });
    }

    private Tickets join(Map<String, Tickets> map, String id, Consumer<UserAnswer> then, long patienceMicros) {
        Tickets tickets = map.computeIfAbsent(id, k -> new Tickets());
        tickets.waiting.add(then);
        waiting++;
        timers.after(patienceMicros, () -> {
            if (map.get(id) == tickets && tickets.waiting.remove(then)) {
                waiting--;
                if (tickets.waiting.isEmpty()) {
                    map.remove(id);
                }
                then.accept(later("not on record yet"));
            }
        });
        return tickets;
    }

    private void resolve(Map<String, Tickets> map, String id, UserAnswer answer) {
        Tickets tickets = map.remove(id);
        if (tickets != null) {
            waiting -= tickets.waiting.size();
            for (Consumer<UserAnswer> then : tickets.waiting) {
                then.accept(answer);
            }
        }
    }

    static UserAnswer later(String reason) {
        return new UserAnswer.TryLater(reason, RETRY_SECONDS);
    }
}
