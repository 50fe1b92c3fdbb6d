package org.granitepath.simulation;

/** Receives the violations that rules find. */
interface ViolationReporter {
    /**
     * Reports the violation of a rule.
     *
     * @param rule the short name of the rule
     * @param description how the rule was violated
     */
    void report(String rule, String description);
}
