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
 * Launches machines for waiting work and terminates the machines that no work needs. A stale leader does no harm here:
 * the current leader learns of machines that it did not launch from the cloud's list or from their heartbeats, and uses
 * or terminates them.
 */
public final class Autoscaler {
    private static final long TICK_MICROS = 1_000_000;
    private static final long FIRST_TICK_MICROS = TICK_MICROS / 10;

    /**
     * The term of leadership in which the autoscaler launches and terminates machines.
     *
     * @param fencingToken a number that is unique to the term
     * @param leadership tells whether the lease of this leader is confirmed
     * @param recovery the recovery of what the former leader left
     * @param hasEnded whether the term is over; the autoscaler then does nothing any more
     */
    public record Term(long fencingToken, Leadership leadership, TermRecovery recovery, BooleanSupplier hasEnded) {}

    private final Fleet fleet;
    private final Leadership leadership;
    private final BooleanSupplier termEnded;
    private final Timers timers;
    private final FailureDetector failureDetector;
    private final FleetSummary summary;
    private final BootingMachines booting = new BootingMachines();
    private final Launcher launcher;
    private final Terminator terminator;
    private final MachineLister lister;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;

    /** Creates an autoscaler that does nothing until {@link #start} is called. */
    public Autoscaler(
            ScaleOutPlan.Inputs inputs,
            Term term,
            PlacementRules rules,
            GangHeadroom gangHeadroom,
            MachineLifecycle machines,
            Peers peers,
            CloudPort cloud,
            Timers timers) {
        Config config = inputs.config();
        this.fleet = inputs.fleet();
        this.leadership = term.leadership();
        this.termEnded = term.hasEnded();
        this.timers = timers;
        this.failureDetector = new FailureDetector(config, fleet, peers);
        this.summary = new FleetSummary(fleet, inputs.jobs());
        CloudRequestBudget requestBudget =
                new CloudRequestBudget(config.limits().cloudRequestsPerSecond(), timers.nowMicros());
        SpareHeadroom spareHeadroom = new SpareHeadroom();
        this.launcher = new Launcher(cloud, timers, term.fencingToken(), booting, termEnded);
        this.terminator = new Terminator(cloud, requestBudget, timers, booting, machines::onTerminated, termEnded);
        this.lister = new MachineLister(
                fleet, booting, terminator::wasRecentlyTerminated, cloud, requestBudget, timers, termEnded);
        this.scaleOut = new ScaleOut(
                inputs,
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

    /** Starts the periodic scaling, which runs once a second until the term ends. */
    public void start() {
        timers.after(FIRST_TICK_MICROS, this::tick);
    }

    private void tick() {
        if (termEnded.getAsBoolean()) {
            return;
        }
        timers.after(TICK_MICROS, this::tick);
        if (!leadership.isLeaseConfirmed() || fleet.types().isEmpty()) {
            return;
        }
        long nowMicros = timers.nowMicros();
        booting.removeJoined(fleet);
        launcher.expireUnavailableOffers(nowMicros);
        terminator.forgetOldTerminations(nowMicros);
        failureDetector.update(nowMicros);
        summary.logIfDue(booting.size(), nowMicros);
        lister.listIfDue(nowMicros);
        // The list shows the machines that the former leader launched. A launch before the first complete listing could
        // launch all of them a second time.
        if (lister.hasCompletedListing()) {
            scaleOut.launch(nowMicros);
        }
        terminator.terminate(scaleIn.chooseMachines(nowMicros), nowMicros);
    }
}
