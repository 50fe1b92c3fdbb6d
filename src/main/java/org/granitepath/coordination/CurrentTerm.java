package org.granitepath.coordination;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** Begins and ends the terms of leadership of this controller, and passes new machine types to the present one. */
final class CurrentTerm implements Leadership.Listener, MachineTypeCatalog.Listener {
    private final Function<Leadership.Term, LeaderTerm> newTerm;
    private final Supplier<Collection<MachineType>> machineTypes;
    /** Null while this controller does not lead. */
    private @Nullable LeaderTerm leaderTerm;

    /**
     * No term is present before this controller is elected.
     *
     * @param newTerm makes a term that does nothing before it is started
     * @param machineTypes the types that the cloud launches; none while they are not known
     */
    CurrentTerm(Function<Leadership.Term, LeaderTerm> newTerm, Supplier<Collection<MachineType>> machineTypes) {
        this.newTerm = newTerm;
        this.machineTypes = machineTypes;
    }

    /** The present term; null while this controller does not lead. */
    @Nullable
    LeaderTerm get() {
        return leaderTerm;
    }

    /** Whether this controller leads. */
    boolean isPresent() {
        return leaderTerm != null;
    }

    @Override
    public void onElected(Leadership.Term term) {
        LeaderTerm elected = newTerm.apply(term);
        leaderTerm = elected;
        elected.start();
        List<MachineType> types = List.copyOf(machineTypes.get());
        if (!types.isEmpty()) {
            elected.onMachineTypesChanged(types);
            elected.recordMachineTypes(types);
        }
        elected.startAutoscaling();
    }

    @Override
    public void onLeadershipLost(String why) {
        if (leaderTerm != null) {
            leaderTerm.end();
            leaderTerm = null;
        }
    }

    @Override
    public void fetched(List<MachineType> types) {
        if (leaderTerm != null) {
            leaderTerm.onMachineTypesChanged(types);
            leaderTerm.recordMachineTypes(types);
        }
    }

    @Override
    public void readFromRecord(List<MachineType> types) {
        if (leaderTerm != null) {
            leaderTerm.onMachineTypesChanged(types);
        }
    }
}
