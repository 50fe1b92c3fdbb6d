package org.granitepath.coordination.leadership;

import static org.granitepath.coordination.leadership.LeadershipPhase.CAMPAIGNING;
import static org.granitepath.coordination.leadership.LeadershipPhase.DISCONNECTED;
import static org.granitepath.coordination.leadership.LeadershipPhase.FENCED_OFF;
import static org.granitepath.coordination.leadership.LeadershipPhase.FOLLOWING;
import static org.granitepath.coordination.leadership.LeadershipPhase.LEADING;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The allowed changes from one phase of leader election to the next. */
class LeadershipPhaseTest {
    private static final Map<LeadershipPhase, Set<LeadershipPhase>> NEXT_PHASES = Map.of(
            FOLLOWING, Set.of(CAMPAIGNING),
            CAMPAIGNING, Set.of(LEADING, FOLLOWING),
            LEADING, Set.of(DISCONNECTED, FENCED_OFF, FOLLOWING),
            DISCONNECTED, Set.of(LEADING, FENCED_OFF, FOLLOWING),
            FENCED_OFF, Set.of(LEADING, DISCONNECTED, FOLLOWING));

    @ParameterizedTest
    @EnumSource
    void onlyTheseChangesAreAllowed(LeadershipPhase phase) {
        Set<LeadershipPhase> allowed = Arrays.stream(LeadershipPhase.values())
                .filter(phase::canChangeTo)
                .collect(Collectors.toSet());
        assertEquals(NEXT_PHASES.get(phase), allowed);
    }
}
