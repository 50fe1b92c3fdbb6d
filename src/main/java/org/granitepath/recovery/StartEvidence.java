package org.granitepath.recovery;

/**
 * What is known about an attempt that this leader has placed on a machine, but that the machine's heartbeat does not
 * list.
 *
 * @param laterAgentEpoch the heartbeat is of a later agent epoch than the one that the start command was meant for
 * @param underCurrentToken the worker created the heartbeat under the machine's current fencing token
 * @param startSent the start command was sent
 * @param startUnanswered a direct call with the start command, under the token of the heartbeat or a later one, has not
 *     been answered: the command may still reach the worker
 * @param listedBefore an earlier heartbeat listed the attempt
 * @param sentInHeartbeatResponse the start command was sent in the response to a heartbeat
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
