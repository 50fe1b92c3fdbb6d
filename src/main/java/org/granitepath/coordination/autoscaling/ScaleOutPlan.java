package org.granitepath.coordination.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.ArrivalRate;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** What is to be launched for the work that waits, given what is on its way. Made anew before each launch. */
public final class ScaleOutPlan {
    private static final long SERVICE_HORIZON_MICROS = 600_000_000;
    /** A service that starts this much later is worth half as much to its users. */
    private static final double LATE_START_MICROS = 120e6;

    /** Tasks of one job that are planned for at a time: as many as 6,000 machines with a task each. */
    private static final int MOST_PLANNED = 6_000;

    /** More machines than a few launches bring are not planned for: the plan is made anew after each. */
    private static final int MOST_MACHINES = 400;

    /** A kind of machine that can be launched, and the job for which it would be. */
    record Offer(MachineType type, String zone, boolean spot, ActiveJob job) {
        String key() {
            return type.name() + "/" + zone + "/" + spot;
        }
    }

    /** How many machines of an offer to launch. */
    record Launch(Offer offer, int count) {}

    /** Live services that need the same are launched for as a class: they share machines. */
    private record EquivalenceClass(long cpu, long gpu, long memory, List<String> types, String zone, boolean spot) {
        static EquivalenceClass of(JobSpec spec) {
            return new EquivalenceClass(
                    spec.cpuMillis(), spec.gpuMillis(), spec.memoryMillis(), spec.types(), spec.zone(), spec.spot());
        }
    }

    /** What a plan is made from. */
    public record Demand(
            Config config,
            Fleet fleet,
            ActiveJobs jobs,
            BatchPlanner batchPlanner,
            RuntimeEstimator runtimeEstimator,
            ArrivalRate arrivalRate) {}

    private final Demand demand;
    private final Predicate<String> refused;
    private final Predicate<String> cutOff;
    private final long now;
    private final List<PlannedMachine> plannedMachines = new ArrayList<>();
    private final Map<String, Integer> counts = new LinkedHashMap<>();
    private final Map<String, Offer> offers = new HashMap<>();
    private final Object2IntOpenHashMap<EquivalenceClass> waitingByClass = new Object2IntOpenHashMap<>();
    /** CPUs for batch work on machines on their way. */
    private double pendingCapacity;

    private double headroomSpare = Double.MAX_VALUE;
    private int newMachines;

    /**
     * @param refused offers of which the cloud lately had none; {@code cutOff} zones whose machines would not be
     *     heard
     */
    ScaleOutPlan(Demand demand, Predicate<String> refused, Predicate<String> cutOff, long now) {
        this.demand = demand;
        this.refused = refused;
        this.cutOff = cutOff;
        this.now = now;
    }

    /** A machine that is on its way. */
    void pending(MachineType type, String zone, boolean spot) {
        plannedMachines.add(new PlannedMachine(type, zone, spot));
        pendingCapacity += type.cpuMillis();
    }

    void make(Collection<ActiveJob> wanting) {
        List<ActiveJob> waiting = new ArrayList<>(wanting);
        waiting.sort(Comparator.comparing((ActiveJob job) -> job.spec().priority())
                .thenComparing(job -> job.acceptedMicros()));
        for (ActiveJob job : waiting) {
            if (job.isLive()) {
                waitingByClass.addTo(EquivalenceClass.of(job.spec()), job.waitingTasks());
            }
        }
        boolean liveDone = false;
        for (ActiveJob job : waiting) {
            if (!liveDone && !job.isLive()) {
                // What is on its way is headroom once the live services at hand have theirs, whatever else wants it.
                planHeadroom();
                liveDone = true;
            }
            plan(job);
        }
        if (!liveDone) {
            planHeadroom();
        }
    }

    /** What to launch first: for live services before other work, then most of a kind. Null: nothing. */
    Launch first() {
        Launch best = null;
        for (var entry : counts.entrySet()) {
            Launch launch = new Launch(offers.get(entry.getKey()), entry.getValue());
            boolean live = launch.offer().job().isLive();
            boolean bestLive = best != null && best.offer().job().isLive();
            if (best == null || (live && !bestLive) || (live == bestLive && launch.count() > best.count())) {
                best = launch;
            }
        }
        return best;
    }

    /** CPUs that live services could take beyond the headroom wanted for them. */
    double headroomSpare() {
        return headroomSpare;
    }

    double drainMicros() {
        return demand.batchPlanner().drainMicros(pendingCapacity);
    }

    private void addLaunch(Offer offer, int count) {
        offers.putIfAbsent(offer.key(), offer);
        counts.merge(offer.key(), count, Integer::sum);
    }

    /**
     * Capacity that live services can take at once, free or by stopping lower work, for as many as arrive while a
     * machine boots. Lower work may use it meanwhile.
     */
    private void planHeadroom() {
        ActiveJob newest = demand.arrivalRate().newest();
        if (newest == null) {
            return;
        }
        Map<String, Double> capacityByZone = new HashMap<>();
        double capacity = 0;
        double live = 0;
        for (Machine machine : demand.fleet().machines()) {
            if (!machine.spot()
                    && machine.type() != null
                    && machine.phase() != Machine.Phase.TERMINATING
                    && machine.type().fits(newest.spec())) {
                double free = machine.type().cpuMillis() - machine.capacity().cpuUsedByServices();
                live += machine.capacity().cpuUsedByServices();
                capacity += free;
                capacityByZone.merge(machine.zone(), free, Double::sum);
            }
        }
        for (PlannedMachine planned : plannedMachines) {
            if (!planned.spot) {
                capacity += planned.cpu;
                capacityByZone.merge(planned.zone, (double) planned.cpu, Double::sum);
            }
        }
        Map<String, Integer> none = new HashMap<>();
        Offer offer = cheapest(newest, true, Integer.MAX_VALUE, none);
        if (offer == null) {
            return;
        }
        double wanted = Math.min(
                demand.arrivalRate().cpuPerMicro(now) * offer.type().bootMicros(),
                demand.config().tuning().scaling().headroomShare() * live);
        headroomSpare = capacity - wanted;
        if (capacity < wanted) {
            String zone = offer.type().zones().stream()
                    .filter(z -> !cutOff.test(z) && !refused.test(new Offer(offer.type(), z, false, newest).key()))
                    .min(Comparator.comparingDouble(z -> capacityByZone.getOrDefault(z, 0.0)))
                    .orElse(offer.zone());
            Offer there = new Offer(offer.type(), zone, false, newest);
            addLaunch(there, (int) Math.ceil((wanted - capacity) / offer.type().cpuMillis()));
        }
    }

    private void plan(ActiveJob job) {
        if (job.spec().gang()) {
            planGang(job);
            return;
        }
        JobSpec spec = job.spec();
        Map<String, Integer> zoneCounts = new HashMap<>(job.tasksByZone());
        int left = Math.min(job.waitingTasks(), MOST_PLANNED);
        EquivalenceClass equivalenceClass = EquivalenceClass.of(spec);
        // From here on the class lacks what the jobs after this one want.
        int others =
                job.isLive() ? waitingByClass.addTo(equivalenceClass, -job.waitingTasks()) - job.waitingTasks() : 0;
        boolean deferrable = demand.batchPlanner().deferrable(job, pendingCapacity, now);
        for (PlannedMachine planned : plannedMachines) {
            while (left > 0
                    && (planned.spot || !deferrable)
                    && zoneCounts.getOrDefault(planned.zone, 0) < spec.zoneCap()
                    && planned.take(spec)) {
                zoneCounts.merge(planned.zone, 1, Integer::sum);
                left--;
            }
        }
        while (left > 0 && newMachines < MOST_MACHINES) {
            newMachines++;
            Offer offer = cheapest(
                    job, !demand.batchPlanner().deferrable(job, pendingCapacity, now), left + others, zoneCounts);
            if (offer == null) {
                return;
            }
            PlannedMachine planned = new PlannedMachine(offer.type(), offer.zone(), offer.spot());
            int before = left;
            while (left > 0 && zoneCounts.getOrDefault(planned.zone, 0) < spec.zoneCap() && planned.take(spec)) {
                zoneCounts.merge(planned.zone, 1, Integer::sum);
                left--;
            }
            if (left == before) {
                return;
            }
            plannedMachines.add(planned);
            pendingCapacity += job.spec().service() ? 0 : planned.type.cpuMillis();
            addLaunch(offer, 1);
        }
    }

    /**
     * Machines for a whole gang or none: where its tasks have to stand together, in the zone where most capacity is
     * free or on its way, as long as machines are to be had there.
     */
    private void planGang(ActiveJob job) {
        JobSpec spec = job.spec();
        if (!spec.oneZone() || spec.zone() != null) {
            planWholeGang(job, null);
            return;
        }
        List<String> zones = new ArrayList<>(demand.config().topology().zones());
        zones.removeIf(zone -> cutOff.test(zone) || !job.zoneAllows(zone));
        zones.sort(Comparator.comparingInt(zone -> -(freeSlots(spec, zone) + pendingSlots(spec, zone))));
        for (String zone : zones) {
            if (planWholeGang(job, zone)) {
                return;
            }
        }
    }

    private int freeSlots(JobSpec spec, String zone) {
        int slots = 0;
        for (Machine machine : demand.fleet().machines()) {
            boolean usable = machine.takesTasks()
                    && machine.allowedFor(spec)
                    && (zone == null || machine.zone().equals(zone))
                    && (machine.reservedFor() == null
                            || machine.reservedFor().spec().equals(spec));
            slots += usable ? machine.capacity().slots(spec, 0, 0, 0) : 0;
        }
        return slots;
    }

    private int pendingSlots(JobSpec spec, String zone) {
        int slots = 0;
        for (PlannedMachine planned : plannedMachines) {
            slots += zone == null || planned.zone.equals(zone) ? planned.slots(spec) : 0;
        }
        return slots;
    }

    /** Plans what this gang lacks in the zone (null: in any); false when so much is not to be had there. */
    private boolean planWholeGang(ActiveJob job, String zone) {
        JobSpec spec = job.spec();
        int left = job.waitingTasks() - freeSlots(spec, zone);
        List<PlannedMachine> used = new ArrayList<>();
        for (PlannedMachine planned : plannedMachines) {
            while (left > 0 && (zone == null || planned.zone.equals(zone)) && planned.take(spec)) {
                used.add(planned);
                left--;
            }
        }
        List<Offer> launches = new ArrayList<>();
        while (left > 0 && newMachines + launches.size() < MOST_MACHINES) {
            Offer offer = cheapest(job, true, left, new HashMap<>(), zone);
            if (offer == null) {
                used.forEach(planned -> planned.undoTake(spec));
                return false;
            }
            left -= offer.type().slots(spec);
            launches.add(offer);
        }
        for (Offer offer : launches) {
            newMachines++;
            PlannedMachine planned = new PlannedMachine(offer.type(), offer.zone(), offer.spot());
            for (int i = 0; i < spec.tasks(); i++) {
                planned.take(spec);
            }
            plannedMachines.add(planned);
            pendingCapacity += offer.type().cpuMillis();
            addLaunch(offer, 1);
        }
        return true;
    }

    private Offer cheapest(ActiveJob job, boolean fullPrice, int left, Map<String, Integer> zoneCounts) {
        return cheapest(job, fullPrice, left, zoneCounts, null);
    }

    /**
     * The offer with the lowest cost for each task of this job, from launch to the task's end.
     *
     * @param onlyZone the zone that it has to be in; null: any
     */
    private Offer cheapest(
            ActiveJob job, boolean fullPrice, int left, Map<String, Integer> zoneCounts, String onlyZone) {
        JobSpec spec = job.spec();
        Offer best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long horizon = spec.service()
                ? SERVICE_HORIZON_MICROS
                : demand.runtimeEstimator().taskMicros(job);
        for (MachineType type : demand.fleet().types().values()) {
            if (!type.fits(spec)) {
                continue;
            }
            int used = Math.min(type.slots(spec), left);
            long ready = type.bootMicros() + (long) (spec.imageGb() / type.fetchGbPerSecond() * 1e6);
            for (String zone : type.zones()) {
                if (!spec.allowsZone(zone)
                        || (onlyZone != null && !onlyZone.equals(zone))
                        || cutOff.test(zone)
                        || zoneCounts.getOrDefault(zone, 0) >= spec.zoneCap()) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    Offer offer = new Offer(type, zone, spot, job);
                    if ((spot && !spec.spot()) || (!spot && !fullPrice) || refused.test(offer.key())) {
                        continue;
                    }
                    double cost = type.priceFor(spot) * Math.max(ready + horizon, Machine.MINIMUM_CHARGE_MICROS) / used;
                    if (spec.hasDeadline()
                            && ready + horizon
                                    > spec.deadlineMicros() - demand.jobs().ageMicros(job, now)) {
                        if (!spot && spec.spot()) {
                            continue; // late all the same: then it can wait for cheaper capacity
                        }
                        cost *= 2;
                    }
                    if (spec.service()) {
                        cost *= 1 + ready / LATE_START_MICROS;
                    }
                    // Among equals the zone with the fewest machines on their way.
                    cost *= 1 + 0.001 * counts.getOrDefault(offer.key(), 0) + 0.0005 * zoneCounts.getOrDefault(zone, 0);
                    if (cost < bestCost) {
                        bestCost = cost;
                        best = offer;
                    }
                }
            }
        }
        return best;
    }
}
