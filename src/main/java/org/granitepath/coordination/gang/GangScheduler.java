package org.granitepath.coordination.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachinePreference;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts gangs: all tasks of one or none. Capacity for the whole gang is found first, in one zone if the job wants
 * that, and within the team's limit. For a gang that does not fit, machines are reserved for a bounded time. A gang
 * that lost a task before it started gets that task anew, under the same attempt, or is stopped.
 */
public final class GangScheduler {
    private static final Logger LOG = LoggerFactory.getLogger(GangScheduler.class);
    /** Of a waiting time that a worker measures we see the beginning and the end only in its heartbeats. */
    private static final int HEARTBEATS_OF_A_WAIT = 2;
    /** At most this share of the machines is reserved at a time, so that gangs do not starve other work. */
    private static final double MOST_RESERVED_SHARE = 0.34;

    private final Config config;
    private final Fleet fleet;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;
    private final MachinePreference preference;

    /** Where the tasks of a gang go, and how many of them must fetch their image first. */
    private record Plan(List<Machine> machines, int fetches) {}

    /** Starts gangs on the machines of this fleet. */
    public GangScheduler(
            Config config, Fleet fleet, PlacementRules rules, TaskLifecycle tasks, MachinePreference preference) {
        this.config = config;
        this.fleet = fleet;
        this.rules = rules;
        this.tasks = tasks;
        this.preference = preference;
    }

    /** Releases the machines reserved for gangs that no longer wait for them. Called before each cycle. */
    public void releaseReservations(long now) {
        for (Machine machine : fleet.machines()) {
            ActiveJob job = machine.reservedFor();
            if (job != null && (job.waitingTasks() <= 0 || job.gangAttempt() != null || reservationIsOver(job, now))) {
                machine.endReservation();
            }
        }
    }

    private boolean reservationIsOver(ActiveJob job, long now) {
        return !job.scheduling().holdsReservation()
                || now - job.scheduling().reservedSinceMicros() > reservationMicros(job);
    }

    /** Machines launched for the gang come one after the other: the first must still be there when the last one is. */
    private long reservationMicros(ActiveJob job) {
        long boot = fleet.types().values().stream()
                .filter(type -> type.fits(job.spec()))
                .mapToLong(MachineType::bootMicros)
                .max()
                .orElse(0);
        return config.tuning().gangHoldMicros() + boot;
    }

    /**
     * Brings a gang forward as far as the capacity allows; {@code machinesWithCapacity} holds the machines with some
     * capacity.
     */
    public void schedule(ActiveJob job, List<Machine> machinesWithCapacity, long now) {
        if (job.gangAttempt() != null) {
            completeOrGiveUp(job, machinesWithCapacity, now);
        } else if (job.running() == 0 && job.claimed() >= job.spec().tasks()) {
            startOrReserve(job, machinesWithCapacity, now);
        }
    }

    // ---- whole gangs -------------------------------------------------------------------------------------------

    private void startOrReserve(ActiveJob job, List<Machine> machinesWithCapacity, long now) {
        if (!rules.teamAllows(job.spec(), job.spec().tasks())) {
            return;
        }
        Plan best = null;
        for (String zone : zones(job.spec())) {
            Plan plan = plan(job, machinesWithCapacity, zone, now);
            if (plan != null && (best == null || plan.fetches() < best.fetches())) {
                best = plan;
            }
        }
        if (best == null) {
            reserve(job, now);
            return;
        }
        LOG.info(
                "gang {} of {} starts {} tasks after {} ms, {} fetch their image",
                job.spec().id(),
                job.spec().jobClass(),
                job.spec().tasks(),
                (now - job.scheduling().waitingSinceMicros()) / 1_000,
                best.fetches());
        job.scheduling().reservationEnds();
        tasks.startGang(job, best.machines(), now);
    }

    /** The zones to try, each by itself; one null when the tasks may stand in different zones. */
    private List<String> zones(JobSpec spec) {
        if (!spec.oneZone() || spec.zone() != null) {
            List<String> any = new ArrayList<>();
            any.add(null);
            return any;
        }
        return config.topology().zones();
    }

    private static boolean isIn(Machine machine, String zone) {
        return zone == null || machine.zone().equals(zone);
    }

    private Plan plan(ActiveJob job, List<Machine> machinesWithCapacity, String zone, long now) {
        JobSpec spec = job.spec();
        List<Machine> candidates = new ArrayList<>();
        int slots = 0;
        for (Machine machine : machinesWithCapacity) {
            if (isIn(machine, zone) && rules.mayHold(machine, job) && rules.suits(machine, job, now)) {
                candidates.add(machine);
                slots += slotsOf(machine, spec);
            }
        }
        if (slots < spec.tasks()) {
            return null;
        }
        candidates.sort(Comparator.comparingDouble((Machine machine) -> preference.score(machine, spec))
                .reversed());
        return choose(spec, candidates);
    }

    /** On a suspect only one task is tried at a time. */
    private int slotsOf(Machine machine, JobSpec spec) {
        int slots = machine.capacity().slots(spec, 0, 0, 0);
        return rules.isSuspect(machine) ? Math.min(1, slots) : slots;
    }

    private Plan choose(JobSpec spec, List<Machine> candidates) {
        List<Machine> chosen = new ArrayList<>();
        Map<String, Integer> inZone = new HashMap<>();
        int fetches = 0;
        for (Machine machine : candidates) {
            int slots = slotsOf(machine, spec);
            for (int i = 0; i < slots && chosen.size() < spec.tasks(); i++) {
                if (inZone.merge(machine.zone(), 1, Integer::sum) > spec.zoneCap()) {
                    break;
                }
                chosen.add(machine);
                fetches += machine.capacity().hasImage(spec.image()) ? 0 : 1;
            }
        }
        return chosen.size() == spec.tasks() ? new Plan(chosen, fetches) : null;
    }

    // ---- reservations ------------------------------------------------------------------------------------------

    /** Holds machines for a gang that does not fit, in the zone where it soonest will; for a set time only. */
    private void reserve(ActiveJob job, long now) {
        if (now < job.scheduling().noReservationUntilMicros()) {
            return;
        }
        if (!job.scheduling().holdsReservation()) {
            job.scheduling().reservationBegins(now);
        } else if (reservationIsOver(job, now)) {
            LOG.debug("gang {} is passed over: it does not fit", job.spec().id());
            job.scheduling().reservationEnds();
            job.scheduling().reserveNothingUntil(now + config.tuning().gangHoldMicros());
            fleet.machines().forEach(machine -> machine.endReservationFor(job));
            return;
        }
        int reservable = (int) (MOST_RESERVED_SHARE * fleet.machines().size());
        for (Machine machine : fleet.machines()) {
            reservable -= machine.reservedFor() == null || machine.reservedFor() == job ? 0 : 1;
        }
        Reservation best = new Reservation(List.of(), 0, -1);
        for (String zone : zones(job.spec())) {
            Reservation candidate = reservable(job, zone, now);
            if (candidate.machines().size() <= reservable && candidate.isBetterThan(best)) {
                best = candidate;
            }
        }
        for (Machine machine : fleet.machines()) {
            machine.endReservationFor(job);
        }
        best.machines().forEach(machine -> machine.reserveFor(job));
    }

    /** Machines for a gang, how many of its tasks they will hold once batch work there has ended, and how many now. */
    private record Reservation(List<Machine> machines, int slots, int free) {
        boolean isBetterThan(Reservation other) {
            return slots != other.slots ? slots > other.slots : free > other.free;
        }
    }

    /**
     * The machines of a zone that will hold the gang or, while others are launched, a part of it; most capacity first.
     */
    private Reservation reservable(ActiveJob job, String zone, long now) {
        JobSpec spec = job.spec();
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (isIn(machine, zone) && rules.mayHold(machine, job) && rules.eligible(machine, job, now)) {
                candidates.add(machine);
            }
        }
        candidates.sort(Comparator.comparing((Machine machine) -> machine.reservedFor() != job)
                .thenComparing(machine -> -slotsOf(machine, spec)));
        List<Machine> chosen = new ArrayList<>();
        int slots = 0;
        int free = 0;
        for (Machine machine : candidates) {
            if (slots >= spec.tasks()) {
                break;
            }
            int later = machine.slotsBesideServices(spec);
            if (later > 0) {
                chosen.add(machine);
                slots += later;
                free += slotsOf(machine, spec);
            }
        }
        return new Reservation(chosen, Math.min(slots, spec.tasks()), free);
    }

    // ---- tasks lost before the start ---------------------------------------------------------------------------

    private void completeOrGiveUp(ActiveJob job, List<Machine> machinesWithCapacity, long now) {
        GangAttempt attempt = job.gangAttempt();
        if (!attempt.mayBeCompleted() || job.unconfirmedTasks() > 0) {
            return;
        }
        while (job.waitingTasks() > 0) {
            int index = job.firstFreed();
            Machine machine = replacement(job, index, machinesWithCapacity, now);
            if (machine == null) {
                break;
            }
            LOG.info(
                    "task {} of gang {} is started anew, for the others that wait",
                    index,
                    job.spec().id());
            tasks.startInGang(job, index, machine, now);
        }
        long lastMoment = config.workers().gangWaitMicros()
                - HEARTBEATS_OF_A_WAIT * config.workers().heartbeatIntervalMicros();
        if (job.waitingTasks() > 0
                && attempt.shouldBeAbandoned(now, config.tuning().gangHoldMicros(), lastMoment)) {
            tasks.stop(job.placements().iterator().next(), 0, "its gang can't be completed in time");
        }
    }

    private Machine replacement(ActiveJob job, int index, List<Machine> machinesWithCapacity, long now) {
        if (!rules.mayStartAnother(job)) {
            return null;
        }
        Machine best = null;
        for (Machine machine : machinesWithCapacity) {
            boolean may = machine.capacity().fits(job.spec())
                    && machine.takesTasks()
                    && rules.mayHold(machine, job)
                    && rules.suits(machine, job, now)
                    && !job.gangAttempt().wasTriedOn(index, machine.id());
            if (may && (best == null || preference.score(machine, job.spec()) > preference.score(best, job.spec()))) {
                best = machine;
            }
        }
        return best;
    }
}
