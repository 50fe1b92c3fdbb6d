package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Keys of the records of jobs are built and parsed. */
class JobKeyTest {
    @Test
    void aParsedKeyContainsTheKindAndTheJob() {
        assertEquals(Optional.of(new Keys.JobKey(Keys.JobRecordKind.JOB, "a/b")), Keys.parseJobKey(Keys.jobKey("a/b")));
    }

    @ParameterizedTest
    @CsvSource({"g/j/a, JOB", "g/p/a, PROGRESS", "g/f/a, FINAL"})
    void eachKindHasItsOwnPrefix(String key, Keys.JobRecordKind kind) {
        assertEquals(Optional.of(new Keys.JobKey(kind, "a")), Keys.parseJobKey(key));
    }

    @ParameterizedTest
    @ValueSource(strings = {Keys.LEADER, Keys.FENCING_TOKEN, Keys.MACHINE_TYPES, Keys.INVENTORY_PREFIX + "0"})
    void otherKeysBelongToNoJob(String key) {
        assertEquals(Optional.empty(), Keys.parseJobKey(key));
    }
}
