package org.granitepath.coordination;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.bookkeeping.Timers;

/** The jobs of one term of leadership that are not over, or whose tasks are still to be stopped. */
final class ActiveJobs {
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final FaultTracker faults;
    private final Timers timers;
    private final long skewMicros;

    ActiveJobs(Config config, FaultTracker faults, Timers timers) {
        this.faults = faults;
        this.timers = timers;
        this.skewMicros = config.skewMicros();
    }

    Collection<ActiveJob> all() {
        return jobs.values();
    }

    /** The job of this name, or null. */
    ActiveJob get(String id) {
        return jobs.get(id);
    }

    void add(ActiveJob job) {
        jobs.put(job.spec().id(), job);
    }

    /** Forgets a job that is over once nothing of it is on any machine. */
    void removeIfOver(ActiveJob job) {
        if (job.phase() == ActiveJob.Phase.OVER && !job.hasPlacements()) {
            jobs.remove(job.spec().id());
            faults.forget(job);
        }
    }

    /** Time since the job was accepted, as far as the clocks agree. */
    long ageMicros(ActiveJob job, long now) {
        return Math.max(now - job.sinceMicros(), timers.timeOfDayMicros() - job.acceptedMicros() - skewMicros);
    }
}
