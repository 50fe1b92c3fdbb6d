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
 * Submissions, polls and cancellations, on any controller. Nothing is promised before it is on record, and nothing
 * that is not final is told without a read barrier.
 */
public final class JobRequestHandler {
    /** This controller's share of the changes; the shares of all add up to more than there is. */
    private static final double WRITE_SHARE = 0.5;

    private static final String UNREADABLE = "a record of the job can't be read";

    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final JobAnswers answers;
    private final AdmissionRules rules;
    private final WaitingRequests waitingRequests = new WaitingRequests();
    private final BarrierReads barrierReads;
    private final SubmissionWriter submissions;
    private final CancellationWriter cancellations;

    /**
     * Answers from the replica and the index; writes through a queue of its own.
     *
     * @param machineTypes the types that the cloud launches; none while they are not known
     * @param announcer told of each cancellation that this controller finds or puts on record for a user
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
                // An acceptance claims tasks for the leader that we know of: it must be the leader still.
                () -> List.of(new Precondition(Keys.LEADER, replica.revision(Keys.LEADER))),
                () -> true);
    }

    /** Takes a submission; answered once it is on record, or at once when it can never run. */
    public void submit(JobSpec spec, Consumer<JobResponse> then) {
        Optional<JobResponse> immediate = answerBeforeValidation(spec.id());
        if (immediate.isPresent()) {
            then.accept(immediate.get());
            return;
        }
        if (jobIndex.openJob(spec.id()) != null) {
            poll(spec.id(), then);
            return;
        }
        Optional<String> reason = rules.unschedulableReason(spec);
        if (reason.isPresent()) {
            refuseUnlessKnown(spec.id(), reason.get(), then);
            return;
        }
        if (!rules.machineTypesKnown()) {
            then.accept(JobAnswers.retryLater("machine types are not known yet"));
            return;
        }
        submissions.record(spec, then);
    }

    /** The answer that does not depend on the description; empty when that has to be validated. */
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
        return jobIndex.isStatusUnknown(jobId) ? Optional.of(JobAnswers.retryLater(UNREADABLE)) : Optional.empty();
    }

    /** Another controller may know the job already, under a description that can run. */
    private void refuseUnlessKnown(String jobId, String reason, Consumer<JobResponse> then) {
        barrierReads.whenFresh(
                then,
                () -> then.accept(
                        jobIndex.isKnown(jobId) ? answers.knownJob(jobId) : new JobResponse.Unschedulable(reason)));
    }

    /** Tells the state of a job, after a read barrier unless it is final. */
    public void poll(String jobId, Consumer<JobResponse> then) {
        if (cancellations.isBeingConfirmed(jobId)) {
            then.accept(JobAnswers.retryLater("its cancellation is being confirmed"));
            return;
        }
        answerUnlessOpen(jobId, then, () -> then.accept(answers.knownJob(jobId)));
    }

    /** Records a cancellation; answered once no task of the job is started any more. */
    public void cancel(String jobId, Consumer<JobResponse> then) {
        if (cancellations.isBeingConfirmed(jobId)) {
            cancellations.joinConfirmation(jobId, then);
            return;
        }
        answerUnlessOpen(jobId, then, () -> cancellations.record(jobId, then));
    }

    /** Answers for a job that is over, not known or can't be read; otherwise leaves the answer to the action. */
    private void answerUnlessOpen(String jobId, Consumer<JobResponse> then, Runnable whenOpen) {
        if (jobIndex.hasEnded(jobId)) {
            then.accept(answers.knownJob(jobId));
            return;
        }
        barrierReads.whenFresh(then, () -> {
            if (jobIndex.isStatusUnknown(jobId)) {
                then.accept(JobAnswers.retryLater(UNREADABLE));
            } else if (!jobIndex.isKnown(jobId)) {
                then.accept(new JobResponse.NotFound());
            } else if (jobIndex.hasEnded(jobId)) {
                then.accept(answers.knownJob(jobId));
            } else {
                whenOpen.run();
            }
        });
    }
}
