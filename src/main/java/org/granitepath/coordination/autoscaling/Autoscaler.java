package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.fleet.FleetSummary;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines for work that waits and returns those that nothing needs. A stale leader does no harm here: machines
 * that nobody asked for are found in the list or by their heartbeats, and are used or returned.
 */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    private static final long TICK_MICROS = 1_000_000;
    private static final long REFUSED_MICROS = 15_000_000;
    private static final int LAUNCHES_AT_ONCE = 50;
    private static final int TERMINATIONS_AT_ONCE = 100;
    private static final int LIST_PAGE = 500;
    private final Config config;
    private final ScaleOutPlan.Demand demand;
    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final PlacementRules rules;
    private final GangHeadroom gangHeadroom;
    private final MachineLifecycle machines;
    private final TermRecovery recovery;
    private final BooleanSupplier ended;
    private final FleetSummary summary;
    private final Leadership leadership;
    private final FailureDetector failureDetector;
    private final CloudPort cloud;
    private final Timers timers;
    private final long fencingToken;
    private final Map<String, BootingMachine> booting = new LinkedHashMap<>();
    private final Map<String, Long> refusedUntil = new HashMap<>();
    private final Map<String, Long> terminated = new HashMap<>();
    private long launchCount;
    /** CPUs that live services could take beyond the headroom wanted for them. */
    private double headroomSpare = Double.MAX_VALUE;

    private boolean launching;
    private boolean terminating;
    private boolean listing;
    private long listDueMicros;
    private boolean listedOnce;
    private double tokens = 1;
    private long tokensAtMicros;

    /** Does nothing before it is started. */
    public Autoscaler(
            Config config,
            ScaleOutPlan.Demand demand,
            PlacementRules rules,
            GangHeadroom gangHeadroom,
            MachineLifecycle machines,
            Leadership leadership,
            Peers peers,
            CloudPort cloud,
            Timers timers,
            long fencingToken,
            TermRecovery recovery,
            BooleanSupplier ended) {
        this.config = config;
        this.demand = demand;
        this.fleet = demand.fleet();
        this.activeJobs = demand.jobs();
        this.rules = rules;
        this.gangHeadroom = gangHeadroom;
        this.machines = machines;
        this.leadership = leadership;
        this.failureDetector = new FailureDetector(config, fleet, peers);
        this.cloud = cloud;
        this.timers = timers;
        this.fencingToken = fencingToken;
        this.recovery = recovery;
        this.ended = ended;
        this.summary = new FleetSummary(fleet, activeJobs);
        this.tokensAtMicros = timers.nowMicros();
    }

    /** Begins to look at the fleet once a second. */
    public void start() {
        timers.after(TICK_MICROS / 10, this::tick);
    }

    private void tick() {
        if (ended.getAsBoolean()) {
            return;
        }
        timers.after(TICK_MICROS, this::tick);
        if (!leadership.leaseConfirmed() || fleet.types().isEmpty()) {
            return;
        }
        long now = timers.nowMicros();
        booting.values().removeIf(host -> {
            Machine machine = fleet.machine(host.id());
            if (machine != null) {
                machine.launchedAt(host.launchedMicros());
            }
            return machine != null;
        });
        refusedUntil.values().removeIf(until -> until < now);
        terminated.values().removeIf(at -> at < now - 120_000_000);
        failureDetector.update(now);
        summary.logIfDue(booting.size(), now);
        list(now);
        // What a predecessor launched shows in the list; launching before reading it would launch everything twice.
        if (listedOnce) {
            launch(now);
        }
        terminate(now);
    }

    private boolean mayCall(long now) {
        double rate = config.limits().cloudRequestsPerSecond() * 0.8;
        tokens = Math.min(Math.max(1, rate), tokens + (now - tokensAtMicros) * rate / 1e6);
        tokensAtMicros = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    // ---- what there is -------------------------------------------------------------------------------------------

    private void list(long now) {
        if (!listing && now >= listDueMicros && mayCall(now)) {
            listing = true;
            listPage("");
        }
    }

    private void listPage(String from) {
        cloud.list(from, LIST_PAGE, listing -> {
            if (ended.getAsBoolean()) {
                return;
            }
            long now = timers.nowMicros();
            if (listing.outcome() != CloudPort.Outcome.OK) {
                this.listing = false;
                listDueMicros = now + 2_000_000;
                return;
            }
            String last = from;
            for (CloudPort.ListedHost listed : listing.hosts()) {
                last = listed.id();
                take(listed, now);
            }
            if (listing.more()) {
                listPage(last);
                return;
            }
            this.listing = false;
            listedOnce = true;
            listDueMicros = now + 6_000_000;
        });
    }

    private void take(CloudPort.ListedHost listed, long now) {
        MachineType type = fleet.types().get(listed.type());
        if (type == null || terminated.containsKey(listed.id()) || fleet.machine(listed.id()) != null) {
            return;
        }
        if (!booting.containsKey(listed.id())) {
            LOG.info("machine {} ({} {}) is listed as {}", listed.id(), listed.type(), listed.zone(), listed.state());
            long age = listed.state() == CloudPort.HostState.FAILED ? Long.MAX_VALUE / 4 : listed.ageMicros();
            booting.put(listed.id(), new BootingMachine(listed.id(), type, listed.zone(), listed.spot(), now - age));
        }
    }

    // ---- launching -------------------------------------------------------------------------------------------------

    private boolean launchesFor(ActiveJob job, long now) {
        return job.waiting() > 0
                && job.scheduling().isWaiting()
                && job.scheduling().notBeforeMicros() <= now
                && (job.gangAttempt() == null || job.gangAttempt().mayBeCompleted())
                && rules.teamAllows(job.spec());
    }

    private void launch(long now) {
        if (launching || !leadership.leaseConfirmed()) {
            return;
        }
        demand.batchPlanner().update(now);
        ScaleOutPlan plan =
                new ScaleOutPlan(demand, refusedUntil::containsKey, zone -> failureDetector.cutOff(zone, now), now);
        for (BootingMachine host : booting.values()) {
            if (!host.overdue(now) && !failureDetector.cutOff(host.zone(), now)) {
                plan.pending(host.type(), host.zone(), host.spot());
            }
        }
        for (Machine machine : fleet.machines()) {
            // Just arrived and not yet ready for tasks.
            if (machine.phase() == Machine.Phase.UNCONFIRMED
                    && machine.type() != null
                    && machine.isEmpty()
                    && !machine.awaitingFirstHeartbeat()
                    && !fleet.overdue(machine, now)) {
                plan.pending(machine.type(), machine.zone(), machine.spot());
            }
        }
        plan.make(activeJobs.all().stream().filter(j -> launchesFor(j, now)).toList());
        headroomSpare = plan.headroomSpare();
        ScaleOutPlan.Launch first = plan.first();
        if (first != null && mayCall(now)) {
            launchFirst(first, Math.round(plan.drainMicros() / 1e6));
        }
    }

    private void launchFirst(ScaleOutPlan.Launch launch, long drainSeconds) {
        launching = true;
        ScaleOutPlan.Offer offer = launch.offer();
        int count = Math.min(launch.count(), LAUNCHES_AT_ONCE);
        // The fencing token is unique to this term of leadership, so no booking's name is ever used twice.
        String idempotencyKey = "b" + fencingToken + "-" + ++launchCount;
        LOG.info(
                "launching {} of {} in {}{} as {}, first for {} ({}, {} tasks wait; batch drains in {} s)",
                count,
                offer.type().name(),
                offer.zone(),
                offer.spot() ? " (spot)" : "",
                idempotencyKey,
                offer.job().spec().id(),
                offer.job().spec().jobClass(),
                offer.job().waiting(),
                drainSeconds);
        send(
                new CloudPort.LaunchRequest(idempotencyKey, offer.type().name(), offer.zone(), offer.spot(), count),
                offer,
                0);
    }

    private void send(CloudPort.LaunchRequest request, ScaleOutPlan.Offer offer, int tries) {
        cloud.launch(request, answer -> {
            if (ended.getAsBoolean()) {
                return;
            }
            long now = timers.nowMicros();
            switch (answer.outcome()) {
                case OK -> {
                    for (String id : answer.hosts()) {
                        booting.putIfAbsent(id, new BootingMachine(id, offer.type(), offer.zone(), offer.spot(), now));
                    }
                    if (answer.hosts().size() < request.count()) {
                        refusedUntil.put(offer.key(), now + REFUSED_MICROS);
                    }
                    LOG.info(
                            "launch {} brought {} of {}",
                            request.idempotencyKey(),
                            answer.hosts().size(),
                            request.count());
                    launching = false;
                    launch(now);
                }
                case NO_CAPACITY -> {
                    LOG.info("launch {} refused: no capacity for {}", request.idempotencyKey(), offer.key());
                    refusedUntil.put(offer.key(), now + REFUSED_MICROS);
                    launching = false;
                    launch(now);
                }
                case REFUSED, UNKNOWN -> {
                    // It may have been carried out: only the same booking tells, and launches nothing twice.
                    if (tries < 20) {
                        timers.after(1_000_000, () -> {
                            if (!ended.getAsBoolean()) {
                                send(request, offer, tries + 1);
                            }
                        });
                    } else {
                        launching = false;
                    }
                }
            }
        });
    }

    // ---- returning -----------------------------------------------------------------------------------------------

    private void terminate(long now) {
        List<String> ids = new ArrayList<>();
        for (BootingMachine host : booting.values()) {
            if (now - host.launchedMicros() > 3 * host.type().bootMicros() + 30_000_000
                    && ids.size() < TERMINATIONS_AT_ONCE) {
                LOG.info("terminating {}: not up after {} s", host.id(), (now - host.launchedMicros()) / 1_000_000);
                ids.add(host.id());
            }
        }
        boolean trustSilence = failureDetector.canJudgeMachines();
        boolean keepsIdle = recovery.keepsIdleMachines();
        gangHeadroom.survey();
        for (Machine machine : List.copyOf(fleet.machines())) {
            if (ids.size() >= TERMINATIONS_AT_ONCE) {
                break;
            }
            boolean trust = (trustSilence && !failureDetector.mayWorkWhileCutOff(machine, now))
                    || now - machine.contact().lastHeartbeatMicros() > partitionTimeoutMicros();
            boolean dead = trust && now - machine.contact().lastHeartbeatMicros() > failureTimeoutMicros(machine);
            boolean idle = !keepsIdle && isIdle(machine, now) && !gangHeadroom.keeps(machine);
            machine.keepAsHeadroom(idle
                    && !machine.spot()
                    && headroomSpare < machine.capacity().cpuFree());
            if (machine.keptAsHeadroom()) {
                idle = false;
            } else if (idle && !machine.spot()) {
                headroomSpare -= machine.capacity().cpuFree();
                gangHeadroom.terminated(machine);
            }
            // Its reports come, but our answers and commands don't get there.
            boolean deaf = machine.phase() == Machine.Phase.UNCONFIRMED
                    && !machine.awaitingFirstHeartbeat()
                    && machine.inventory().recorded()
                    && now - machine.unconfirmedMicros() > config.workers().leaseMicros()
                    && trust;
            boolean drained = machine.phase() == Machine.Phase.DRAINING && machine.isEmpty();
            if (machine.phase() == Machine.Phase.TERMINATING || dead || deaf || idle || drained) {
                if (machine.phase() != Machine.Phase.TERMINATING) {
                    machine.terminating(dead ? "silent" : deaf ? "does not hear us" : idle ? "idle" : "drained");
                }
                ids.add(machine.id());
            }
        }
        if (ids.isEmpty() || terminating || !mayCall(now)) {
            return;
        }
        terminating = true;
        cloud.terminate(ids, done -> {
            terminating = false;
            if (ended.getAsBoolean() || !done) {
                return;
            }
            for (String id : ids) {
                terminated.put(id, timers.nowMicros());
                booting.remove(id);
                machines.terminated(id);
            }
        });
    }

    private boolean isIdle(Machine machine, long now) {
        return machine.phase() == Machine.Phase.READY
                && machine.isEmpty()
                && machine.reservedFor() == null
                && now - machine.idleSinceMicros() > idleMicros(machine)
                && now - machine.launchedMicros() > Machine.MINIMUM_CHARGE_MICROS;
    }

    /**
     * How long a machine may stand idle: as long as a new one would take to boot, so that keeping it never costs much
     * more than letting it go; longer on spot machines, which cost little and may not be had again.
     */
    private long idleMicros(Machine machine) {
        double share = machine.spot()
                ? config.tuning().scaling().idleShareSpot()
                : config.tuning().scaling().idleShare();
        return machine.type() == null
                ? 30_000_000
                : (long) (share * machine.type().bootMicros());
    }

    /** How long machines that may only be cut off are waited for: by then all on them is over in any case. */
    private long partitionTimeoutMicros() {
        return config.workers().cancelMicros() + config.workers().leaseMicros();
    }

    /**
     * How long a machine may be silent before it is given up. One that answers direct calls lives: after a takeover its
     * reports may still be on their way to the former leader.
     */
    private long failureTimeoutMicros(Machine machine) {
        return machine.contact().probeFailed()
                ? failureDetector.unresponsiveTimeoutMicros(machine)
                : config.workers().leaseMicros();
    }
}
