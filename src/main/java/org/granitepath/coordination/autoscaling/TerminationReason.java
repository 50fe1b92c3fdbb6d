package org.granitepath.coordination.autoscaling;

/** The reason why a machine is terminated. */
enum TerminationReason {
    /**
     * The machine has sent no heartbeat for too long, and the heartbeats of other machines indicate that the machine
     * failed rather than the network.
     */
    UNRESPONSIVE("unresponsive"),
    /** Heartbeats of the machine arrive, but answers and commands of the controller do not reach the machine. */
    UNREACHABLE("the controller's answers do not reach it"),
    /** The machine has been idle for longer than it pays to keep it. */
    IDLE("idle"),
    /** The machine was drained and is empty. */
    DRAINED("drained"),
    /** Tasks of several jobs failed on the machine, and it is empty. */
    FAULTY("faulty");

    private final String text;

    TerminationReason(String text) {
        this.text = text;
    }

    /** Returns the text of the reason for the log. */
    String text() {
        return text;
    }
}
