package org.granitepath.coordination.autoscaling;

import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.fleet.FleetSummary;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.Timers;

/**
 * Launches machines for work that waits and terminates those that nothing needs. A stale leader does no harm here:
 * machines that nobody asked for are found in the list or by their heartbeats, and are used or terminated.
 */
public final class Autoscaler {
    private static final long TICK_MICROS = 1_000_000;
    private static final long FIRST_TICK_MICROS = TICK_MICROS / 10;

    /**
     * The term of leadership in which machines are launched and terminated.
     *
     * @param fencingToken unique to the term
     * @param ended whether the term is over: then nothing is done any more
     */
    public record Term(long fencingToken, Leadership leadership, TermRecovery recovery, BooleanSupplier ended) {}

    private final Fleet fleet;
    private final Leadership leadership;
    private final BooleanSupplier ended;
    private final Timers timers;
    private final FailureDetector failureDetector;
    private final FleetSummary summary;
    private final BootingMachines booting = new BootingMachines();
    private final Launcher launcher;
    private final Terminator terminator;
    private final MachineLister lister;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;

    /** Does nothing before it is started. */
    public Autoscaler(
            ScaleOutPlan.Inputs demand,
            Term term,
            PlacementRules rules,
            GangHeadroom gangHeadroom,
            MachineLifecycle machines,
            Peers peers,
            CloudPort cloud,
            Timers timers) {
        Config config = demand.config();
        this.fleet = demand.fleet();
        this.leadership = term.leadership();
        this.ended = term.ended();
        this.timers = timers;
        this.failureDetector = new FailureDetector(config, fleet, peers);
        this.summary = new FleetSummary(fleet, demand.jobs());
        CloudRequestBudget requestBudget =
                new CloudRequestBudget(config.limits().cloudRequestsPerSecond(), timers.nowMicros());
        SpareHeadroom spareHeadroom = new SpareHeadroom();
        this.launcher = new Launcher(cloud, timers, term.fencingToken(), booting, ended);
        this.terminator = new Terminator(cloud, requestBudget, timers, booting, machines::onTerminated, ended);
        this.lister =
                new MachineLister(fleet, booting, terminator::terminatedLately, cloud, requestBudget, timers, ended);
        this.scaleOut = new ScaleOut(
                demand,
                rules,
                leadership::isLeaseConfirmed,
                failureDetector,
                booting,
                requestBudget,
                launcher,
                spareHeadroom);
        this.scaleIn =
                new ScaleIn(config, fleet, booting, failureDetector, spareHeadroom, gangHeadroom, term.recovery());
    }

    /** Begins to look at the fleet once a second. */
    public void start() {
        timers.after(FIRST_TICK_MICROS, this::tick);
    }

    private void tick() {
        if (ended.getAsBoolean()) {
            return;
        }
        timers.after(TICK_MICROS, this::tick);
        if (!leadership.isLeaseConfirmed() || fleet.types().isEmpty()) {
            return;
        }
        long nowMicros = timers.nowMicros();
        booting.removeJoined(fleet);
        launcher.forgetOldRefusals(nowMicros);
        terminator.forgetOld(nowMicros);
        failureDetector.update(nowMicros);
        summary.logIfDue(booting.size(), nowMicros);
        lister.listIfDue(nowMicros);
        // What a predecessor launched shows in the list; launching before reading it would launch everything twice.
        if (lister.listedOnce()) {
            scaleOut.launch(nowMicros);
        }
        terminator.terminate(scaleIn.choose(nowMicros), nowMicros);
    }
}
