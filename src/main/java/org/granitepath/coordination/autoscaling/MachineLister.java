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
 * Lists the cloud's machines now and then, page by page, to find those that boot and were launched by a former leader,
 * or by a launch whose answer was lost.
 */
final class MachineLister {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLister.class);
    private static final int PAGE_SIZE = 500;
    private static final long INTERVAL_MICROS = 6_000_000;
    private static final long RETRY_MICROS = 2_000_000;
    /** Older than any time to boot, so that a machine that failed is terminated at once. */
    private static final long FAILED_MACHINE_AGE_MICROS = Long.MAX_VALUE / 4;

    private final Fleet fleet;
    private final BootingMachines booting;
    private final Predicate<String> terminatedLately;
    private final CloudPort cloud;
    private final CloudRequestBudget requestBudget;
    private final Timers timers;
    private final BooleanSupplier ended;
    private boolean underWay;
    private long dueMicros;
    private boolean listedOnce;

    /**
     * Lists nothing before it is told to.
     *
     * @param terminatedLately machines, by name, that an outdated list may still show
     * @param ended whether the term of leadership is over: then answers change nothing
     */
    MachineLister(
            Fleet fleet,
            BootingMachines booting,
            Predicate<String> terminatedLately,
            CloudPort cloud,
            CloudRequestBudget requestBudget,
            Timers timers,
            BooleanSupplier ended) {
        this.fleet = fleet;
        this.booting = booting;
        this.terminatedLately = terminatedLately;
        this.cloud = cloud;
        this.requestBudget = requestBudget;
        this.timers = timers;
        this.ended = ended;
    }

    /** Whether the whole list has been read at least once. */
    boolean listedOnce() {
        return listedOnce;
    }

    /** Begins to read the list if it is time to and the budget allows it. */
    void listIfDue(long nowMicros) {
        if (!underWay && nowMicros >= dueMicros && requestBudget.tryTake(nowMicros)) {
            underWay = true;
            listPageAfter("");
        }
    }

    private void listPageAfter(String lastSeen) {
        cloud.listMachines(lastSeen, PAGE_SIZE, page -> {
            if (ended.getAsBoolean()) {
                return;
            }
            long nowMicros = timers.nowMicros();
            if (page.outcome() != CloudPort.Outcome.OK) {
                underWay = false;
                dueMicros = nowMicros + RETRY_MICROS;
                return;
            }
            String last = lastSeen;
            for (CloudPort.ListedMachine listed : page.machines()) {
                last = listed.id();
                addIfBooting(listed, nowMicros);
            }
            if (page.hasMore()) {
                listPageAfter(last);
                return;
            }
            underWay = false;
            listedOnce = true;
            dueMicros = nowMicros + INTERVAL_MICROS;
        });
    }

    private void addIfBooting(CloudPort.ListedMachine listed, long nowMicros) {
        MachineType type = fleet.types().get(listed.type());
        if (type == null
                || terminatedLately.test(listed.id())
                || fleet.machine(listed.id()) != null
                || booting.contains(listed.id())) {
            return;
        }
        LOG.info("machine {} ({} {}) is listed as {}", listed.id(), listed.type(), listed.zone(), listed.state());
        boolean failed = listed.state() == CloudPort.MachineState.FAILED;
        long ageMicros = failed ? FAILED_MACHINE_AGE_MICROS : listed.ageMicros();
        booting.add(new BootingMachine(listed.id(), type, listed.zone(), listed.spot(), nowMicros - ageMicros));
    }
}
