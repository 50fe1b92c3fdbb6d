package org.granitepath.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.granitepath.coordination.TestConfigs;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which jobs are rejected because they can never run. Each job has ten tasks of one CPU. */
class AdmissionRulesTest {
    private static final JobSpec BATCH = Fixtures.spec(JobSpec.Shape.BATCH, false, false);
    private static final Team UNLIMITED = new Team("team", 0, 0, 0, 0);
    private static final MachineType HALF_CPU_TYPE =
            new MachineType("half", 500, 0, 8_000, 1, 0.1, 0.05, 1, List.of("north"));

    private static Config config(Team... teams) {
        return TestConfigs.withTeams(TestConfigs.of("c1", "c1-1"), teams);
    }

    private static Optional<String> reason(JobSpec spec, Config config, MachineType... types) {
        return new AdmissionRules(config, () -> List.of(types)).unschedulableReason(spec);
    }

    @Test
    void aJobThatFitsIsAccepted() {
        assertEquals(Optional.empty(), reason(BATCH, config(UNLIMITED), Fixtures.TYPE));
    }

    @Test
    void aJobOfAnUnknownTeamIsRejected() {
        assertEquals(Optional.of("unknown team team"), reason(BATCH, config(), Fixtures.TYPE));
    }

    @ParameterizedTest
    @CsvSource({
        "BATCH, 1000, false", // the job makes progress with one task at a time
        "BATCH, 999, true",
        "GANG, 10000, false",
        "GANG, 9999, true",
        "SERVICE, 10000, false",
        "SERVICE, 9999, true",
    })
    void theTasksThatRunAtTheSameTimeMustStayWithinTheTeamsLimit(
            JobSpec.Shape shape, long cpuLimitMillis, boolean rejected) {
        Config config = config(new Team("team", 0, cpuLimitMillis, 0, 0));
        Optional<String> reason = reason(Fixtures.spec(shape, false, false), config, Fixtures.TYPE);
        assertEquals(rejected ? Optional.of("more than the limit of team team") : Optional.empty(), reason);
    }

    @Test
    void aTaskMustFitAtLeastOneMachineType() {
        assertEquals(
                Optional.of("a task fits no allowed machine type"), reason(BATCH, config(UNLIMITED), HALF_CPU_TYPE));
        assertEquals(Optional.empty(), reason(BATCH, config(UNLIMITED), HALF_CPU_TYPE, Fixtures.TYPE));
    }

    @Test
    void noJobIsRejectedForItsSizeWhileMachineTypesAreUnknown() {
        assertEquals(Optional.empty(), reason(BATCH, config(UNLIMITED)));
    }

    @Test
    void aDescriptionLargerThanAValueOfTheStoreIsRejected() {
        JobSpec longImage = withImage("i".repeat(10_000));
        Optional<String> reason = reason(longImage, config(UNLIMITED), Fixtures.TYPE);
        assertTrue(reason.isPresent() && reason.get().startsWith("its description takes more than the 10000 bytes"));
    }

    private static JobSpec withImage(String image) {
        return new JobSpec(
                BATCH.id(),
                BATCH.jobClass(),
                BATCH.team(),
                BATCH.shape(),
                BATCH.priority(),
                BATCH.tasks(),
                BATCH.cpuMillis(),
                BATCH.gpuMillis(),
                BATCH.memoryMillis(),
                image,
                BATCH.imageGb(),
                BATCH.allowedTypeNames(),
                BATCH.zone(),
                BATCH.oneZone(),
                BATCH.spread(),
                BATCH.spotAllowed(),
                BATCH.estimatedRunMicros(),
                BATCH.checkpointIntervalMicros(),
                BATCH.saveDurationMicros(),
                BATCH.deadlineMicros());
    }

    @ParameterizedTest
    @CsvSource({"true, true, true", "true, false, false", "false, true, false"})
    void tasksThatMustBeSpreadAndInOneZoneAreRejected(boolean oneZone, boolean spread, boolean rejected) {
        JobSpec spec = Fixtures.spec(JobSpec.Shape.BATCH, oneZone, spread);
        Optional<String> reason = reason(spec, config(UNLIMITED), Fixtures.TYPE);
        assertEquals(
                rejected ? Optional.of("its tasks must be spread over zones and be in one zone") : Optional.empty(),
                reason);
    }
}
