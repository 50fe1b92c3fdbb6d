package org.granitepath.recovery;

/**
 * What is known of an attempt that this leader holds on a machine and that the machine's report does not list.
 *
 * @param laterSession the report is of a later session than the one that the start was meant for
 * @param currentToken the report was made under the machine's present fencing token
 * @param sent the start has gone out
 * @param unanswered a direct start under the token of the report, or a later one, has no answer: it may come yet
 * @param seen an earlier report listed the attempt
 * @param inAnswer the start went out in the answer to a report
 * @param ownReport the worker sent this report by itself; otherwise it came in the answer to a direct call
 */
public record StartEvidence(
        boolean laterSession,
        boolean currentToken,
        boolean sent,
        boolean unanswered,
        boolean seen,
        boolean inAnswer,
        boolean ownReport) {}
