package org.granitepath.coordination;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** Starts and ends this controller's terms of leadership, and passes new machine types on to the current term. */
final class CurrentTerm implements Leadership.Listener, MachineTypeCatalog.Listener {
    private final Function<Leadership.Term, LeaderTerm> termFactory;
    private final Supplier<Collection<MachineType>> machineTypes;
    /** Null while this controller is not the leader. */
    private @Nullable LeaderTerm leaderTerm;

    /**
     * Creates the holder without a term; the first term begins when this controller is elected.
     *
     * @param termFactory creates a term, which does nothing until it is started
     * @param machineTypes returns the types that the cloud offers; empty while they are not known
     */
    CurrentTerm(Function<Leadership.Term, LeaderTerm> termFactory, Supplier<Collection<MachineType>> machineTypes) {
        this.termFactory = termFactory;
        this.machineTypes = machineTypes;
    }

    /** Returns the current term, or null if this controller is not the leader. */
    @Nullable
    LeaderTerm get() {
        return leaderTerm;
    }

    /** Returns whether this controller is the leader. */
    boolean isPresent() {
        return leaderTerm != null;
    }

    @Override
    public void onElected(Leadership.Term term) {
        LeaderTerm elected = termFactory.apply(term);
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
    public void onFetched(List<MachineType> types) {
        if (leaderTerm != null) {
            leaderTerm.onMachineTypesChanged(types);
            leaderTerm.recordMachineTypes(types);
        }
    }

    @Override
    public void onReadFromRecord(List<MachineType> types) {
        if (leaderTerm != null) {
            leaderTerm.onMachineTypesChanged(types);
        }
    }
}
