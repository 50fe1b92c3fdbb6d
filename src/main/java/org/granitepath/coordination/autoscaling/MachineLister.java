package org.granitepath.coordination.autoscaling;

import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lists the cloud's machines periodically, page by page, to find booting machines that a former leader launched, and
 * those whose launch request was carried out although its answer was lost.
 */
final class MachineLister {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLister.class);
    private static final int PAGE_SIZE = 500;
    private static final long LISTING_INTERVAL_MICROS = 6_000_000;
    private static final long RETRY_MICROS = 2_000_000;
    /** Age assigned to a failed machine: longer than any boot time, so that the machine is terminated at once. */
    private static final long FAILED_MACHINE_AGE_MICROS = Long.MAX_VALUE / 4;

    private final Fleet fleet;
    private final BootingMachines booting;
    private final Predicate<String> recentlyTerminated;
    private final CloudPort cloud;
    private final CloudRequestBudget requestBudget;
    private final Timers timers;
    private final BooleanSupplier termEnded;
    private boolean listingInProgress;
    private long nextListingMicros;
    private boolean completedListing;

    /**
     * Creates a lister that lists nothing until {@link #listIfDue} is called.
     *
     * @param fleet the machines that have joined, which the lister leaves out
     * @param booting receives the booting machines that the lister finds
     * @param recentlyTerminated accepts the names of terminated machines that an outdated list may still show
     * @param termEnded whether the term of leadership is over; the lister then ignores answers
     */
    MachineLister(
            Fleet fleet,
            BootingMachines booting,
            Predicate<String> recentlyTerminated,
            CloudPort cloud,
            CloudRequestBudget requestBudget,
            Timers timers,
            BooleanSupplier termEnded) {
        this.fleet = fleet;
        this.booting = booting;
        this.recentlyTerminated = recentlyTerminated;
        this.cloud = cloud;
        this.requestBudget = requestBudget;
        this.timers = timers;
        this.termEnded = termEnded;
    }

    /** Returns whether the whole list has been read at least once. */
    boolean hasCompletedListing() {
        return completedListing;
    }

    /** Starts to read the list if the next listing is due and the request budget allows it. */
    void listIfDue(long nowMicros) {
        if (!listingInProgress && nowMicros >= nextListingMicros && requestBudget.tryAcquire(nowMicros)) {
            listingInProgress = true;
            requestPageAfter("");
        }
    }

    private void requestPageAfter(String machineId) {
        cloud.listMachines(machineId, PAGE_SIZE, page -> {
            if (termEnded.getAsBoolean()) {
                return;
            }
            long nowMicros = timers.nowMicros();
            if (page.outcome() != CloudPort.Outcome.OK) {
                listingInProgress = false;
                nextListingMicros = nowMicros + RETRY_MICROS;
                return;
            }
            String lastId = machineId;
            for (CloudPort.ListedMachine listed : page.machines()) {
                lastId = listed.id();
                addIfBooting(listed, nowMicros);
            }
            if (page.hasMore()) {
                requestPageAfter(lastId);
                return;
            }
            listingInProgress = false;
            completedListing = true;
            nextListingMicros = nowMicros + LISTING_INTERVAL_MICROS;
        });
    }

    private void addIfBooting(CloudPort.ListedMachine listed, long nowMicros) {
        MachineType type = fleet.types().get(listed.type());
        if (type == null
                || recentlyTerminated.test(listed.id())
                || fleet.machine(listed.id()) != null
                || booting.contains(listed.id())) {
            return;
        }
        LOG.info(
                "machine {} ({} {}) found in the cloud's list in state {}; tracking it as a booting machine",
                listed.id(),
                listed.type(),
                listed.zone(),
                listed.state());
        boolean failed = listed.state() == CloudPort.MachineState.FAILED;
        long ageMicros = failed ? FAILED_MACHINE_AGE_MICROS : listed.ageMicros();
        booting.add(new BootingMachine(listed.id(), type, listed.zone(), listed.spot(), nowMicros - ageMicros));
    }
}
