package org.granitepath.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rounding in conversions between external and internal units. */
class UnitsTest {
    @ParameterizedTest
    @CsvSource({"0,0", "1.5,1500000", "0.0000004,0", "0.0000006,1"})
    void secondsAreRoundedToTheNearestMicrosecond(double seconds, long micros) {
        assertEquals(micros, Units.secondsToMicros(seconds));
    }

    @Test
    void microsecondsAreConvertedToSeconds() {
        assertEquals(2.5, Units.microsToSeconds(2_500_000));
    }

    /** The smallest step is 0.001 of a unit; 8.2 and 0.29 have no exact binary fraction. */
    @ParameterizedTest
    @CsvSource({"8,8000,8000", "8.2,8200,8200", "0.29,290,290", "1.0004,1000,1001", "1.0006,1000,1001", "0,0,0"})
    void offersAreRoundedDownAndRequestsUp(double amount, long offered, long requested) {
        assertEquals(offered, Units.toThousandthsRoundedDown(amount));
        assertEquals(requested, Units.toThousandthsRoundedUp(amount));
    }
}
