package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;

/** A test double of the cloud that records requests. The test answers the latest request of each kind. */
final class RecordingCloud implements CloudPort {
    final List<LaunchRequest> launches = new ArrayList<>();
    /** The machines that each termination request names. */
    final List<List<String>> terminations = new ArrayList<>();
    /** The name of the machine after which each requested page of the list begins. */
    final List<String> listedAfter = new ArrayList<>();

    private Consumer<LaunchResult> unansweredLaunch;
    private Consumer<Boolean> unansweredTermination;
    private Consumer<Listing> unansweredList;

    @Override
    public void fetchMachineTypes(Consumer<List<MachineType>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void launch(LaunchRequest request, Consumer<LaunchResult> callback) {
        launches.add(request);
        unansweredLaunch = callback;
    }

    @Override
    public void terminate(List<String> machineIds, Consumer<Boolean> callback) {
        terminations.add(machineIds);
        unansweredTermination = callback;
    }

    @Override
    public void listMachines(String afterId, int limit, Consumer<Listing> callback) {
        listedAfter.add(afterId);
        unansweredList = callback;
    }

    void answerLaunch(Outcome outcome, String... ids) {
        unansweredLaunch.accept(new LaunchResult(outcome, List.of(ids)));
    }

    void answerTermination(boolean done) {
        unansweredTermination.accept(done);
    }

    void answerList(Outcome outcome, boolean hasMore, ListedMachine... machines) {
        unansweredList.accept(new Listing(outcome, List.of(machines), hasMore));
    }
}
