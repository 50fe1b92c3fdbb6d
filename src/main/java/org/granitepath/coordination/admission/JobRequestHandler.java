package org.granitepath.coordination.admission;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.Keys;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.RateControl;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;

/**
 * Handles submissions, polls and cancellations on any controller. Nothing is promised to a user before it is on record,
 * and a state that is not final is only reported after a read barrier.
 */
public final class JobRequestHandler {
    /**
     * The part of the store's write budget that this controller uses for users' requests. The parts of all controllers
     * add up to more than the budget, so the queue adapts its rate.
     */
    private static final double WRITE_SHARE = 0.5;

    private static final String UNREADABLE_RECORD = "a record of the job can't be read";

    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final JobAnswers answers;
    private final AdmissionRules rules;
    private final WaitingRequests waitingRequests = new WaitingRequests();
    private final BarrierReads barrierReads;
    private final SubmissionWriter submissions;
    private final CancellationWriter cancellations;

    /**
     * Creates a handler that answers from the replica and the index, and writes through a queue of its own.
     *
     * @param machineTypes supplies the machine types that the cloud launches; empty while they are not known
     * @param announcer notified of each cancellation that this controller finds or puts on record for a user
     */
    public JobRequestHandler(
            Config config,
            KeyValueStore store,
            RecordReplica replica,
            JobIndex jobIndex,
            Timers timers,
            Supplier<Collection<MachineType>> machineTypes,
            CancellationAnnouncer announcer) {
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.answers = new JobAnswers(jobIndex);
        this.rules = new AdmissionRules(config, machineTypes);
        this.barrierReads = new BarrierReads(replica, waitingRequests, timers);
        WriteQueue writeQueue = newWriteQueue(config.limits().store(), store, replica, timers);
        this.submissions =
                new SubmissionWriter(config.tuning(), replica, jobIndex, answers, timers, writeQueue, waitingRequests);
        this.cancellations =
                new CancellationWriter(replica, jobIndex, answers, timers, writeQueue, waitingRequests, announcer);
    }

    private static WriteQueue newWriteQueue(
            StoreLimits limits, KeyValueStore store, RecordReplica replica, Timers timers) {
        return new WriteQueue(
                store,
                replica,
                timers,
                limits.transactionChanges(),
                limits.writesPerSecond() * WRITE_SHARE,
                RateControl.ADAPTIVE,
                // The record of an accepted job claims tasks for the leader known here: it must still be the leader.
                () -> List.of(new Precondition(Keys.LEADER, replica.revision(Keys.LEADER))),
                () -> true);
    }

    /**
     * Handles a submission. Calls back once the job is on record, or without a write if the job can never run, is known
     * already or cannot be accepted now.
     */
    public void submit(JobSpec spec, Consumer<JobResponse> callback) {
        Optional<JobResponse> immediate = answerBeforeValidation(spec.id());
        if (immediate.isPresent()) {
            callback.accept(immediate.get());
            return;
        }
        if (jobIndex.openJob(spec.id()) != null) {
            poll(spec.id(), callback);
            return;
        }
        Optional<String> reason = rules.unschedulableReason(spec);
        if (reason.isPresent()) {
            rejectUnlessKnown(spec.id(), reason.get(), callback);
            return;
        }
        if (!rules.areMachineTypesKnown()) {
            callback.accept(JobAnswers.retryLater("machine types are not known yet"));
            return;
        }
        submissions.record(spec, callback);
    }

    /**
     * Returns the answer if it does not depend on the job's description; empty if the description has to be validated.
     */
    private Optional<JobResponse> answerBeforeValidation(String jobId) {
        if (jobIndex.hasEnded(jobId)) {
            return Optional.of(answers.knownJob(jobId));
        }
        if (!replica.isLoaded()) {
            return Optional.of(JobAnswers.retryLater("starting"));
        }
        if (waitingRequests.isFull()) {
            return Optional.of(JobAnswers.retryLater("too many requests wait"));
        }
        return jobIndex.isStatusUnknown(jobId)
                ? Optional.of(JobAnswers.retryLater(UNREADABLE_RECORD))
                : Optional.empty();
    }

    /**
     * Rejects the job unless a read barrier shows that it is known: another controller may have accepted the same job
     * under a description that can run.
     */
    private void rejectUnlessKnown(String jobId, String reason, Consumer<JobResponse> callback) {
        barrierReads.runAfterBarrier(
                callback,
                () -> callback.accept(
                        jobIndex.isKnown(jobId) ? answers.knownJob(jobId) : new JobResponse.Unschedulable(reason)));
    }

    /** Handles a poll. Calls back with the state of the job, after a read barrier unless the state is final. */
    public void poll(String jobId, Consumer<JobResponse> callback) {
        if (cancellations.isBeingConfirmed(jobId)) {
            callback.accept(JobAnswers.retryLater("its cancellation is being confirmed"));
            return;
        }
        answerUnlessOpen(jobId, callback, () -> callback.accept(answers.knownJob(jobId)));
    }

    /**
     * Handles a cancellation. Calls back once the cancellation is on record and no task of the job will be started any
     * more.
     */
    public void cancel(String jobId, Consumer<JobResponse> callback) {
        if (cancellations.isBeingConfirmed(jobId)) {
            cancellations.joinConfirmation(jobId, callback);
            return;
        }
        answerUnlessOpen(jobId, callback, () -> cancellations.record(jobId, callback));
    }

    /**
     * Answers if the job has ended, is not known or cannot be read; otherwise runs {@code whenOpen}, which has to
     * answer.
     */
    private void answerUnlessOpen(String jobId, Consumer<JobResponse> callback, Runnable whenOpen) {
        if (jobIndex.hasEnded(jobId)) {
            callback.accept(answers.knownJob(jobId));
            return;
        }
        barrierReads.runAfterBarrier(callback, () -> {
            if (jobIndex.isStatusUnknown(jobId)) {
                callback.accept(JobAnswers.retryLater(UNREADABLE_RECORD));
            } else if (!jobIndex.isKnown(jobId)) {
                callback.accept(new JobResponse.NotFound());
            } else if (jobIndex.hasEnded(jobId)) {
                callback.accept(answers.knownJob(jobId));
            } else {
                whenOpen.run();
            }
        });
    }
}
