package org.granitepath.recovery;

/**
 * What is known of an attempt that this leader holds on a machine and that the machine's heartbeat does not list.
 *
 * @param laterAgentEpoch the heartbeat is of a later agent epoch than the one that the start was meant for
 * @param underCurrentToken the heartbeat was made under the machine's present fencing token
 * @param startSent the start has gone out
 * @param startUnanswered a direct start under the token of the heartbeat, or a later one, has no answer: it may come yet
 * @param listedBefore an earlier heartbeat listed the attempt
 * @param sentInHeartbeatResponse the start went out in the answer to a heartbeat
 * @param initiatedByWorker the worker sent this heartbeat by itself; otherwise it came in the answer to a direct call
 */
public record StartEvidence(
        boolean laterAgentEpoch,
        boolean underCurrentToken,
        boolean startSent,
        boolean startUnanswered,
        boolean listedBefore,
        boolean sentInHeartbeatResponse,
        boolean initiatedByWorker) {}
