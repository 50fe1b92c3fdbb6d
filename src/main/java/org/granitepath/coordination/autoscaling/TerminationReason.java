package org.granitepath.coordination.autoscaling;

/** Why a machine is terminated. */
enum TerminationReason {
    /** It has sent no heartbeat for too long, and what is known of other machines says that it is to blame. */
    UNRESPONSIVE("silent"),
    /** Its heartbeats arrive, but our answers and commands do not reach it. */
    UNREACHABLE("does not hear us"),
    /** Nothing has needed it for longer than it pays to keep it. */
    IDLE("idle"),
    /** It was to be vacated, and is empty. */
    DRAINED("drained");

    private final String text;

    TerminationReason(String text) {
        this.text = text;
    }

    /** The reason as the log words it. */
    String text() {
        return text;
    }
}
