package org.granitepath.simulation;

/** Takes what a rule finds. */
interface ViolationReporter {
    /**
     * A rule is broken.
     *
     * @param rule its short name
     * @param description how it was broken
     */
    void report(String rule, String description);
}
