package org.granitepath.coordination.autoscaling;

/** Why a machine is terminated. */
enum TerminationReason {
    /** It has sent no heartbeat for too long, and what is known of other machines says that it is to blame. */
    UNRESPONSIVE("unresponsive"),
    /** Its heartbeats arrive, but our answers and commands do not reach it. */
    UNREACHABLE("our answers do not reach it"),
    /** Nothing has needed it for longer than it pays to keep it. */
    IDLE("idle"),
    /** It was drained, and is empty. */
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
