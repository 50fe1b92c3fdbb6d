package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import org.granitepath.coordination.ports.Heartbeat;

/**
 * What a leader knows of the worker of one machine: its latest message, the latest possible expiry of its lease, and
 * the direct calls to it. The state changes only through the methods of this class.
 */
public final class WorkerContact {
    private static final long UNKNOWN_AGENT_EPOCH = -1;
    /** No message has this number: sequence numbers start at 0. */
    private static final long NO_SEQUENCE = -1;

    /** The value of a lease that has expired or was never granted. */
    private static final long NO_LEASE = 0;

    /** A worker is unresponsive after this many missed heartbeats and a margin for delays. */
    private static final int MAX_MISSED_HEARTBEATS = 2;

    private static final long DELAY_MARGIN_MICROS = 1_000_000;

    private String address;
    private long agentEpoch = UNKNOWN_AGENT_EPOCH;
    private long sequence = NO_SEQUENCE;
    private long reportedToken;
    private boolean restarted;
    private long lastHeartbeatMicros;
    private long leaseExpiryMicros;
    private boolean fenced;
    private boolean probeFailed;
    private long lastCallMicros;
    private boolean callInFlight;
    /** The number of the worker's latest message when the latest call began. */
    private long agentEpochAtCall = UNKNOWN_AGENT_EPOCH;

    private long sequenceAtCall = NO_SEQUENCE;
    /** The attempts started by a direct command, each with the fencing token of the command. */
    private final Long2LongOpenHashMap tokensOfDirectStarts = new Long2LongOpenHashMap();

    WorkerContact(String address) {
        this.address = address;
    }

    /** Returns the address at which the worker accepts direct commands, as of its latest message. */
    public String address() {
        return address;
    }

    /**
     * Takes over a worker whose machine was in the inventory when the term began.
     *
     * @param previousLeaseExpiryMicros the latest time until which the previous leader may have extended the lease
     */
    void takeOver(long nowMicros, long previousLeaseExpiryMicros) {
        lastHeartbeatMicros = nowMicros;
        leaseExpiryMicros = previousLeaseExpiryMicros;
    }

    /** Returns the worker's latest agent epoch, or a negative value if it is unknown. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** Returns the number of the worker's latest message in its agent epoch, or a negative value if there is none. */
    public long sequence() {
        return sequence;
    }

    /** Records a newer message of the worker: a heartbeat, or the response to a direct call. */
    public void recordMessage(Heartbeat message) {
        agentEpoch = message.agentEpoch();
        sequence = message.sequence();
        reportedToken = message.fencingToken();
        address = message.address();
    }

    /**
     * Returns whether the message carries a lower fencing token than the worker's latest one. A worker never forgets a
     * token, so such a message is either older than the latest one, or the worker has restarted.
     */
    public boolean isBelowReportedToken(Heartbeat message) {
        return message.fencingToken() < reportedToken;
    }

    /**
     * Records that the worker has restarted, so it has forgotten its tasks, its agent epoch and its fencing token. The
     * next message is accepted whatever its number. Until {@link #clearRestart}, the worker must not learn the
     * machine's current fencing token, since late copies of commands under that token would be carried out.
     */
    public void recordRestart() {
        restarted = true;
        agentEpoch = UNKNOWN_AGENT_EPOCH;
        sequence = NO_SEQUENCE;
        agentEpochAtCall = UNKNOWN_AGENT_EPOCH;
        sequenceAtCall = NO_SEQUENCE;
        reportedToken = 0;
    }

    /** Returns whether the worker has restarted and no fencing token has been drawn for the machine since. */
    public boolean isRestarted() {
        return restarted;
    }

    /** Notes that the machine has a fencing token under which no command was sent before the worker restarted. */
    public void clearRestart() {
        restarted = false;
    }

    /**
     * Records a heartbeat that the worker sent on its own. Responses to direct calls do not count here, because the
     * worker's lease expires without heartbeats in any case.
     */
    void recordHeartbeat(long nowMicros) {
        lastHeartbeatMicros = nowMicros;
        probeFailed = false;
        fenced = false;
    }

    /** Returns the time at which the worker last sent a heartbeat on its own. */
    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    /** Excludes a pause of this process from the time in which heartbeats count as missing. */
    void compensateForPause(long pauseMicros, long nowMicros) {
        lastHeartbeatMicros = Math.min(nowMicros, lastHeartbeatMicros + pauseMicros);
    }

    /** Returns whether a heartbeat is so long overdue that a command would hardly arrive. */
    public boolean isUnresponsive(long nowMicros, long heartbeatIntervalMicros) {
        return nowMicros - lastHeartbeatMicros > MAX_MISSED_HEARTBEATS * heartbeatIntervalMicros + DELAY_MARGIN_MICROS;
    }

    /**
     * Returns the time at which the worker's lease expires at the latest, whichever controller has extended it, unless
     * this controller extends it again. Returns 0 if the lease has expired.
     */
    public long leaseExpiryMicros() {
        return leaseExpiryMicros;
    }

    /**
     * Sets the time until which the worker may continue. Only a message under the current fencing token can make it
     * earlier.
     */
    public void setLeaseExpiry(long expiryMicros, boolean underCurrentToken) {
        leaseExpiryMicros = underCurrentToken ? expiryMicros : Math.max(leaseExpiryMicros, expiryMicros);
    }

    /** Records that the worker's lease has expired. Any later message of the worker has a later agent epoch. */
    public void expireLease() {
        leaseExpiryMicros = NO_LEASE;
        agentEpoch = Math.max(agentEpoch, 0) + 1;
        sequence = NO_SEQUENCE;
        tokensOfDirectStarts.clear();
    }

    /**
     * Returns whether the store holds a fencing token for the machine that was drawn after the worker's latest
     * heartbeat and was never sent to the worker. The worker then still has an older token, under which no controller
     * in contact with the store renews its lease. The worker is not called while this holds.
     */
    public boolean isFenced() {
        return fenced;
    }

    /** Notes that a fencing token is stored that the worker has not received. */
    public void fence() {
        fenced = true;
    }

    /** Notes that the worker may have received the stored fencing token. */
    public void clearFence() {
        fenced = false;
    }

    /** Returns whether a direct call is in flight. */
    public boolean hasCallInFlight() {
        return callInFlight;
    }

    /**
     * Notes that a direct call begins, which ends the fence: the worker may receive the fencing token with the call. A
     * {@code ZoneLeaseKeeper} that knows this token may then renew the worker's lease.
     */
    public void beginCall(long nowMicros) {
        callInFlight = true;
        fenced = false;
        lastCallMicros = nowMicros;
        agentEpochAtCall = agentEpoch;
        sequenceAtCall = sequence;
    }

    /**
     * Returns whether the response to the latest call is numbered like a message from before that call. The worker
     * created it after the call began, so it must have restarted and begun to count anew.
     */
    public boolean isNumberedBeforeCall(Heartbeat response) {
        return !response.isNewerThan(agentEpochAtCall, sequenceAtCall);
    }

    /** Notes that the direct call was answered or given up. */
    public void endCall() {
        callInFlight = false;
    }

    /** Records whether the direct call that has ended brought a message of the worker. */
    public void recordCallResult(boolean answered) {
        probeFailed = !answered && lastHeartbeatMicros < lastCallMicros;
    }

    /** Returns the time of the latest direct call. */
    public long lastCallMicros() {
        return lastCallMicros;
    }

    /** Returns whether the worker was called after its latest heartbeat and did not answer. */
    public boolean hasProbeFailed() {
        return probeFailed;
    }

    /** Records the direct command that starts the attempt. A late copy of the command may arrive at any time. */
    public void recordDirectStart(long attempt, long fencingToken) {
        tokensOfDirectStarts.put(attempt, fencingToken);
    }

    /** Returns whether a late copy of the attempt's direct start would be carried out under the given token. */
    public boolean canBeStartedAgain(long attempt, long fencingToken) {
        return tokensOfDirectStarts.get(attempt) >= fencingToken;
    }

    /** Forgets the direct start of an attempt that is cleared. */
    public void forgetDirectStart(long attempt) {
        tokensOfDirectStarts.remove(attempt);
    }
}
