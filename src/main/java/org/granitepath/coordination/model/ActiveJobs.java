package org.granitepath.coordination.model;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;

/** The jobs of one term of leadership that are not over, or whose tasks are still to be stopped. */
public final class ActiveJobs {
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final Consumer<ActiveJob> removalListener;
    private final Timers timers;
    private final long skewMicros;

    /** @param removalListener told of each job that is forgotten */
    public ActiveJobs(long skewMicros, Timers timers, Consumer<ActiveJob> removalListener) {
        this.removalListener = removalListener;
        this.timers = timers;
        this.skewMicros = skewMicros;
    }

    /** All of them, in the order in which this term learnt of them. */
    public Collection<ActiveJob> all() {
        return jobs.values();
    }

    /** The job of this name, or null. */
    public @Nullable ActiveJob get(String id) {
        return jobs.get(id);
    }

    /** Opens a job. */
    public void add(ActiveJob job) {
        jobs.put(job.spec().id(), job);
    }

    /** Forgets a job that is over once nothing of it is on any machine. */
    public void removeIfEnded(ActiveJob job) {
        if (job.phase() == ActiveJob.Phase.ENDED && !job.hasPlacements()) {
            jobs.remove(job.spec().id());
            removalListener.accept(job);
        }
    }

    /** Time since the job was accepted, as far as the clocks agree. */
    public long ageMicros(ActiveJob job, long nowMicros) {
        return Math.max(
                nowMicros - job.firstSeenMicros(), timers.timeOfDayMicros() - job.acceptedMicros() - skewMicros);
    }
}
