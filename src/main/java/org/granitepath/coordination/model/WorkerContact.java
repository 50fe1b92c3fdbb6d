package org.granitepath.coordination.model;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import org.granitepath.coordination.ports.Heartbeat;

/**
 * What a leader knows of the worker of one machine: its latest message, until when its lease may run, and the direct
 * calls to it. State changes through the named methods alone.
 */
public final class WorkerContact {
    private static final long UNKNOWN_AGENT_EPOCH = -1;
    /** No message is numbered so: sequence numbers start at 0. */
    private static final long NO_SEQUENCE = -1;

    /** A lease that is over, or was never given. */
    private static final long NO_LEASE = 0;

    private static final int MAX_MISSED_HEARTBEATS = 2;
    private static final long DELAY_MARGIN_MICROS = 1_000_000;

    private String address;
    private long agentEpoch = UNKNOWN_AGENT_EPOCH;
    private long sequence = NO_SEQUENCE;
    private long lastHeartbeatMicros;
    private long leaseExpiryMicros;
    private boolean fenced;
    private boolean probeFailed;
    private long lastCallMicros;
    private boolean callInFlight;
    /** Attempts started by a direct command, each with the fencing token of the command. */
    private final Long2LongOpenHashMap tokensOfDirectStarts = new Long2LongOpenHashMap();

    WorkerContact(String address) {
        this.address = address;
    }

    /** Where the worker takes direct commands, as of its latest message. */
    public String address() {
        return address;
    }

    /** The machine was on record when the term began: the former leader may have kept its lease alive until then. */
    void takeOver(long nowMicros, long formerLeaseExpiryMicros) {
        lastHeartbeatMicros = nowMicros;
        leaseExpiryMicros = formerLeaseExpiryMicros;
    }

    // ---- what its worker says ----------------------------------------------------------------------------------

    /** The worker's latest agent epoch; negative: unknown. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** The number of the worker's latest message in its agent epoch; negative: none. */
    public long sequence() {
        return sequence;
    }

    /** A newer message of the worker has come, by itself or as the answer to a direct call. */
    public void recordMessage(Heartbeat message) {
        agentEpoch = message.agentEpoch();
        sequence = message.sequence();
        address = message.address();
    }

    /**
     * The worker has sent a heartbeat by itself. Answers to direct calls don't count here: without heartbeats the
     * worker's lease expires all the same.
     */
    void recordHeartbeat(long nowMicros) {
        lastHeartbeatMicros = nowMicros;
        probeFailed = false;
        fenced = false;
    }

    /** When its worker last sent a heartbeat by itself. */
    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    /** This process stood still for so long: no heartbeat counts as missing in that time. */
    void compensateForPause(long pauseMicros, long nowMicros) {
        lastHeartbeatMicros = Math.min(nowMicros, lastHeartbeatMicros + pauseMicros);
    }

    /** Whether a heartbeat is overdue by so much that a command would hardly arrive. */
    public boolean isUnresponsive(long nowMicros, long heartbeatIntervalMicros) {
        return nowMicros - lastHeartbeatMicros > MAX_MISSED_HEARTBEATS * heartbeatIntervalMicros + DELAY_MARGIN_MICROS;
    }

    // ---- lease -------------------------------------------------------------------------------------------------

    /**
     * From this moment on nobody can have kept the worker's lease alive, provided that we don't either; 0 when it is
     * over.
     */
    public long leaseExpiryMicros() {
        return leaseExpiryMicros;
    }

    /** The worker may go on until then; only a message under the present fencing token can shorten that. */
    public void setLeaseExpiry(long expiryMicros, boolean underPresentToken) {
        leaseExpiryMicros = underPresentToken ? expiryMicros : Math.max(leaseExpiryMicros, expiryMicros);
    }

    /** The worker's lease is over: its next message, if any, is of a later agent epoch. */
    public void expireLease() {
        leaseExpiryMicros = NO_LEASE;
        agentEpoch = Math.max(agentEpoch, 0) + 1;
        sequence = NO_SEQUENCE;
        tokensOfDirectStarts.clear();
    }

    /**
     * Whether a fencing token is on record that was drawn since its latest heartbeat and never sent to it: no
     * controller in contact with the store lets the worker go on under the one it has. While this holds, it is not
     * called.
     */
    public boolean isFenced() {
        return fenced;
    }

    /** A fencing token is on record that the worker has not been shown. */
    public void fence() {
        fenced = true;
    }

    /** The worker may have seen the fencing token on record. */
    public void clearFence() {
        fenced = false;
    }

    // ---- direct calls ------------------------------------------------------------------------------------------

    /** Whether a direct call has not ended yet. */
    public boolean hasCallInFlight() {
        return callInFlight;
    }

    /** A direct call begins. The worker may see the token, and a lease keeper that knows it may go on under it. */
    public void beginCall(long nowMicros) {
        callInFlight = true;
        fenced = false;
        lastCallMicros = nowMicros;
    }

    /** The direct call was answered or given up. */
    public void endCall() {
        callInFlight = false;
    }

    /** Whether the call that has ended brought a message of the worker. */
    public void recordCallResult(boolean answered) {
        probeFailed = !answered && lastHeartbeatMicros < lastCallMicros;
    }

    /** When it was last called. */
    public long lastCallMicros() {
        return lastCallMicros;
    }

    /** Whether it was called since its latest heartbeat, and there was no answer. */
    public boolean hasProbeFailed() {
        return probeFailed;
    }

    /** An attempt is started by a direct command under this fencing token; a late copy may come any time. */
    public void recordDirectStart(long attempt, long fencingToken) {
        tokensOfDirectStarts.put(attempt, fencingToken);
    }

    /** Whether a late copy of the direct command that started the attempt would be carried out under this token. */
    public boolean canBeStartedAgain(long attempt, long fencingToken) {
        return tokensOfDirectStarts.get(attempt) >= fencingToken;
    }

    /** The attempt is cleared away. */
    public void forgetDirectStart(long attempt) {
        tokensOfDirectStarts.remove(attempt);
    }
}
