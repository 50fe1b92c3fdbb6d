package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks a state machine against its two rule tables, cell by cell. The test of a state machine extends this class,
 * implements the methods that drive the object under test, and has two static methods: {@code steps} returns the cells
 * of the table of phases and next phases ({@link RuleTable#steps}), and {@code events} returns those of the table of
 * phases and events ({@link RuleTable#cells}).
 */
abstract class StateMachineRules<P extends Enum<P>> {
    /** Returns the phase of the object under test. */
    abstract P phase();

    /** Returns whether the state machine allows the transition. */
    abstract boolean canTransition(P from, P next);

    /** Moves the object under test from its first phase to the given one by its own events. */
    abstract void moveTo(P phase);

    /** Applies the event with this column name to the object under test. */
    abstract void apply(String event);

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @MethodSource("steps")
    void onlyListedTransitionsAreAllowed(P from, P next, boolean allowed) {
        assertEquals(allowed, canTransition(from, next));
    }

    @ParameterizedTest(name = "{0}, {1} -> {2}")
    @MethodSource("events")
    void eventLeadsToExpectedPhase(P from, String event, String expected) {
        moveTo(from);
        assertEquals(from, phase());
        if (RuleTable.REFUSED.equals(expected)) {
            assertThrows(IllegalStateException.class, () -> apply(event));
            assertEquals(from, phase());
        } else {
            apply(event);
            assertEquals(Enum.valueOf(from.getDeclaringClass(), expected), phase());
        }
    }
}
