package org.granitepath.coordination.autoscaling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Launches machines, one request at a time. A request without a definite answer is repeated under the same idempotency
 * key, so that nothing is launched twice. Remembers which offers the cloud lately had no capacity for.
 */
final class Launcher {
    private static final Logger LOG = LoggerFactory.getLogger(Launcher.class);
    private static final String KEY_PREFIX = "b";
    private static final int MAX_MACHINES_PER_REQUEST = 50;
    private static final int MAX_REPEATS = 20;
    private static final long REPEAT_MICROS = 1_000_000;
    /** How long an offer is avoided after the cloud had no capacity for it. */
    private static final long REFUSED_MICROS = 15_000_000;

    private final CloudPort cloud;
    private final Timers timers;
    private final long fencingToken;
    private final BootingMachines booting;
    private final BooleanSupplier ended;
    /** Until when each offer is avoided, by its key. */
    private final Map<String, Long> refusedUntilMicros = new HashMap<>();

    private long requestCount;
    private boolean underWay;

    /**
     * Launches nothing before it is told to.
     *
     * @param booting where the launched machines are put
     * @param ended whether the term of leadership is over: then answers change nothing
     */
    Launcher(CloudPort cloud, Timers timers, long fencingToken, BootingMachines booting, BooleanSupplier ended) {
        this.cloud = cloud;
        this.timers = timers;
        this.fencingToken = fencingToken;
        this.booting = booting;
        this.ended = ended;
    }

    /** Whether a request waits for its answer. */
    boolean underWay() {
        return underWay;
    }

    /** Whether the cloud lately had no capacity for the offer with this key. */
    boolean refusedLately(String offerKey) {
        return refusedUntilMicros.containsKey(offerKey);
    }

    /** Forgets refusals that are old enough for another attempt. */
    void forgetOldRefusals(long nowMicros) {
        refusedUntilMicros.values().removeIf(untilMicros -> untilMicros < nowMicros);
    }

    /**
     * Sends a request for as many of the machines as one request may bring.
     *
     * @param drainSeconds for the log: how long the batch work at hand will take
     * @param whenAnswered called with the time when the cloud has answered and another launch may follow
     */
    void launch(PlannedLaunch launch, long drainSeconds, LongConsumer whenAnswered) {
        underWay = true;
        Offer offer = launch.offer();
        int count = Math.min(launch.count(), MAX_MACHINES_PER_REQUEST);
        String idempotencyKey = nextIdempotencyKey();
        ActiveJob job = offer.job();
        LOG.info(
                "launch {} of {} {} in {}{}, first for job {} ({}, {} tasks wait; batch drains in {} s)",
                idempotencyKey,
                count,
                offer.type().name(),
                offer.zone(),
                offer.spot() ? " (spot)" : "",
                job.spec().id(),
                job.spec().jobClass(),
                job.waitingTasks(),
                drainSeconds);
        CloudPort.LaunchRequest request =
                new CloudPort.LaunchRequest(idempotencyKey, offer.type().name(), offer.zone(), offer.spot(), count);
        send(request, offer, 0, whenAnswered);
    }

    /** The fencing token is unique to this term of leadership, so no key is ever used for two requests. */
    private String nextIdempotencyKey() {
        requestCount++;
        return KEY_PREFIX + fencingToken + "-" + requestCount;
    }

    private void send(CloudPort.LaunchRequest request, Offer offer, int repeats, LongConsumer whenAnswered) {
        cloud.launch(request, answer -> {
            if (ended.getAsBoolean()) {
                return;
            }
            long nowMicros = timers.nowMicros();
            switch (answer.outcome()) {
                case OK -> {
                    launched(request, offer, answer, nowMicros);
                    underWay = false;
                    whenAnswered.accept(nowMicros);
                }
                case NO_CAPACITY -> {
                    LOG.info("launch {} refused: no capacity for {}", request.idempotencyKey(), offer.key());
                    refusedUntilMicros.put(offer.key(), nowMicros + REFUSED_MICROS);
                    underWay = false;
                    whenAnswered.accept(nowMicros);
                }
                case REFUSED, UNKNOWN -> repeatLater(request, offer, repeats, whenAnswered);
            }
        });
    }

    private void launched(CloudPort.LaunchRequest request, Offer offer, CloudPort.LaunchResult answer, long nowMicros) {
        for (String id : answer.machineIds()) {
            booting.add(new BootingMachine(id, offer.type(), offer.zone(), offer.spot(), nowMicros));
        }
        int brought = answer.machineIds().size();
        if (brought < request.count()) {
            refusedUntilMicros.put(offer.key(), nowMicros + REFUSED_MICROS);
        }
        LOG.info("launch {} brought {} of {}", request.idempotencyKey(), brought, request.count());
    }

    /** It may have been carried out: only the same request tells, and launches nothing twice. */
    private void repeatLater(CloudPort.LaunchRequest request, Offer offer, int repeats, LongConsumer whenAnswered) {
        if (repeats >= MAX_REPEATS) {
            underWay = false;
            return;
        }
        timers.after(REPEAT_MICROS, () -> {
            if (!ended.getAsBoolean()) {
                send(request, offer, repeats + 1, whenAnswered);
            }
        });
    }
}
