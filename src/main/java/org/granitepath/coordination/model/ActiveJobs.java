package org.granitepath.coordination.model;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/** The jobs of one leadership term that have no final record yet or still have tasks to stop. */
public final class ActiveJobs {
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final Consumer<ActiveJob> removalListener;
    private final Timers timers;
    private final long maxClockOffsetMicros;

    /**
     * Creates an empty set of jobs.
     *
     * @param maxClockOffsetMicros bound on the offset of a machine's time of day from the true time; the times of day
     *     of any two machines differ by less than twice this
     * @param removalListener is called with each job that is removed
     */
    public ActiveJobs(long maxClockOffsetMicros, Timers timers, Consumer<ActiveJob> removalListener) {
        this.removalListener = removalListener;
        this.timers = timers;
        this.maxClockOffsetMicros = maxClockOffsetMicros;
    }

    /** Returns all jobs, in the order in which this leader learned of them. */
    public Collection<ActiveJob> all() {
        return jobs.values();
    }

    /** Returns the job with the given id, or null if there is none. */
    public @Nullable ActiveJob get(String id) {
        return jobs.get(id);
    }

    /** Adds a job. */
    public void add(ActiveJob job) {
        jobs.put(job.spec().id(), job);
    }

    /** Removes the job if it has ended and none of its tasks may be on a machine any more. */
    public void removeIfEnded(ActiveJob job) {
        if (job.phase() == ActiveJob.Phase.ENDED && !job.hasPlacements()) {
            jobs.remove(job.spec().id());
            removalListener.accept(job);
        }
    }

    /**
     * Returns the time since the job was accepted, in microseconds. It is computed from the times of day, less the
     * largest clock offset, and is never less than the time since this leader learned of the job.
     */
    public long ageMicros(ActiveJob job, long nowMicros) {
        return Math.max(
                nowMicros - job.firstSeenMicros(),
                timers.timeOfDayMicros() - job.acceptedMicros() - maxClockOffsetMicros);
    }
}
