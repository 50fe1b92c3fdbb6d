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
 * Launches machines, one request at a time. It retries a request without a definite answer under the same idempotency
 * key, so that no machine is launched twice. It remembers for which offers the cloud recently had no capacity.
 */
final class Launcher {
    private static final Logger LOG = LoggerFactory.getLogger(Launcher.class);
    private static final String KEY_PREFIX = "b";
    private static final int MAX_MACHINES_PER_REQUEST = 50;
    private static final int MAX_RETRIES = 20;
    private static final long RETRY_DELAY_MICROS = 1_000_000;
    /** How long an offer is avoided after the cloud had no capacity for it. */
    private static final long NO_CAPACITY_BACKOFF_MICROS = 15_000_000;

    private final CloudPort cloud;
    private final Timers timers;
    private final long fencingToken;
    private final BootingMachines booting;
    private final BooleanSupplier termEnded;
    /** The time until which each unavailable offer is avoided, by the key of the offer. */
    private final Map<String, Long> unavailableUntilMicros = new HashMap<>();

    private long requestCount;
    private boolean requestInFlight;

    /**
     * Creates a launcher that launches nothing until {@link #launch} is called.
     *
     * @param fencingToken the fencing token of the term, which the idempotency keys contain
     * @param booting receives the launched machines
     * @param termEnded whether the term of leadership is over; the launcher then ignores answers
     */
    Launcher(CloudPort cloud, Timers timers, long fencingToken, BootingMachines booting, BooleanSupplier termEnded) {
        this.cloud = cloud;
        this.timers = timers;
        this.fencingToken = fencingToken;
        this.booting = booting;
        this.termEnded = termEnded;
    }

    /** Returns whether a request waits for its answer or its next retry. */
    boolean hasRequestInFlight() {
        return requestInFlight;
    }

    /** Returns whether the cloud recently had no capacity, or too little, for the offer with this key. */
    boolean isUnavailable(String offerKey) {
        return unavailableUntilMicros.containsKey(offerKey);
    }

    /** Makes offers available again whose unavailable time is over. */
    void expireUnavailableOffers(long nowMicros) {
        unavailableUntilMicros.values().removeIf(untilMicros -> untilMicros < nowMicros);
    }

    /**
     * Sends a request for the planned machines, at most for as many as one request may launch.
     *
     * @param batchCompletionSeconds how long the present batch work takes to complete, for the log
     * @param onAnswer called with the time of the answer in microseconds, when another launch may follow; not called
     *     if the launcher gives up after the last retry
     */
    void launch(PlannedLaunch launch, long batchCompletionSeconds, LongConsumer onAnswer) {
        requestInFlight = true;
        Offer offer = launch.offer();
        int count = Math.min(launch.count(), MAX_MACHINES_PER_REQUEST);
        String idempotencyKey = nextIdempotencyKey();
        ActiveJob job = offer.job();
        LOG.info(
                "launch {}: requesting {} machines of type {} in zone {}{}, first for job {} (class {}, {} tasks wait);"
                        + " batch work completes in {} s",
                idempotencyKey,
                count,
                offer.type().name(),
                offer.zone(),
                offer.spot() ? " (spot)" : "",
                job.spec().id(),
                job.spec().jobClass(),
                job.waitingTasks(),
                batchCompletionSeconds);
        CloudPort.LaunchRequest request =
                new CloudPort.LaunchRequest(idempotencyKey, offer.type().name(), offer.zone(), offer.spot(), count);
        send(request, offer, 0, onAnswer);
    }

    /** Returns a new key. The fencing token is unique to the term of leadership, so no two requests share a key. */
    private String nextIdempotencyKey() {
        requestCount++;
        return KEY_PREFIX + fencingToken + "-" + requestCount;
    }

    private void send(CloudPort.LaunchRequest request, Offer offer, int retries, LongConsumer onAnswer) {
        cloud.launch(request, answer -> {
            if (termEnded.getAsBoolean()) {
                return;
            }
            long nowMicros = timers.nowMicros();
            switch (answer.outcome()) {
                case OK -> {
                    onLaunched(request, offer, answer, nowMicros);
                    requestInFlight = false;
                    onAnswer.accept(nowMicros);
                }
                case NO_CAPACITY -> {
                    LOG.info(
                            "launch {} failed: the cloud has no capacity for {}; avoiding this offer for a while",
                            request.idempotencyKey(),
                            offer.key());
                    unavailableUntilMicros.put(offer.key(), nowMicros + NO_CAPACITY_BACKOFF_MICROS);
                    requestInFlight = false;
                    onAnswer.accept(nowMicros);
                }
                case REFUSED, UNKNOWN -> retryLater(request, offer, retries, onAnswer);
            }
        });
    }

    private void onLaunched(
            CloudPort.LaunchRequest request, Offer offer, CloudPort.LaunchResult answer, long nowMicros) {
        for (String id : answer.machineIds()) {
            booting.add(new BootingMachine(id, offer.type(), offer.zone(), offer.spot(), nowMicros));
        }
        int launchedCount = answer.machineIds().size();
        if (launchedCount < request.count()) {
            unavailableUntilMicros.put(offer.key(), nowMicros + NO_CAPACITY_BACKOFF_MICROS);
        }
        LOG.info("launch {} started {} of {} machines", request.idempotencyKey(), launchedCount, request.count());
    }

    /**
     * Sends the same request again after a delay. The cloud may have carried the request out; only the same request
     * under the same key can tell, without launching the machines twice.
     */
    private void retryLater(CloudPort.LaunchRequest request, Offer offer, int retries, LongConsumer onAnswer) {
        if (retries >= MAX_RETRIES) {
            requestInFlight = false;
            return;
        }
        timers.after(RETRY_DELAY_MICROS, () -> {
            if (!termEnded.getAsBoolean()) {
                send(request, offer, retries + 1, onAnswer);
            }
        });
    }
}
