package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks a state machine against its two rule tables, cell by cell. A test of a state machine extends this, says how
 * the object under test is driven, and has two static methods: {@code steps}, the cells of the table of phases and next
 * phases ({@link RuleTable#steps}), and {@code events}, those of the table of phases and events
 * ({@link RuleTable#cells}).
 */
abstract class StateMachineRules<P extends Enum<P>> {
    /** The phase of the object under test. */
    abstract P phase();

    /** Whether the state machine lets an object go from one phase to another. */
    abstract boolean canTransition(P from, P next);

    /** Brings the new object under test to this phase, by its own events. */
    abstract void moveTo(P phase);

    /** Lets the event of this column of the table happen to the object under test. */
    abstract void apply(String event);

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @MethodSource("steps")
    void onlyTheseStepsAreAllowed(P from, P next, boolean allowed) {
        assertEquals(allowed, canTransition(from, next));
    }

    @ParameterizedTest(name = "{0}, {1} -> {2}")
    @MethodSource("events")
    void eachEventInEachPhase(P from, String event, String expected) {
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
