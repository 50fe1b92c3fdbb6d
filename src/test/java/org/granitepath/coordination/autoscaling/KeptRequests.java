package org.granitepath.coordination.autoscaling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.MachineType;

/** A cloud that keeps the requests made of it, for the test to answer the latest of each kind. */
final class KeptRequests implements CloudPort {
    final List<LaunchRequest> launches = new ArrayList<>();
    /** The machines of each request to terminate. */
    final List<List<String>> terminations = new ArrayList<>();
    /** After which machine each page of the list begins. */
    final List<String> listedAfter = new ArrayList<>();

    private Consumer<LaunchResult> unansweredLaunch;
    private Consumer<Boolean> unansweredTermination;
    private Consumer<Listing> unansweredList;

    @Override
    public void fetchMachineTypes(Consumer<List<MachineType>> then) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void launch(LaunchRequest request, Consumer<LaunchResult> then) {
        launches.add(request);
        unansweredLaunch = then;
    }

    @Override
    public void terminate(List<String> hosts, Consumer<Boolean> then) {
        terminations.add(hosts);
        unansweredTermination = then;
    }

    @Override
    public void listMachines(String from, int limit, Consumer<Listing> then) {
        listedAfter.add(from);
        unansweredList = then;
    }

    void answerLaunch(Outcome outcome, String... ids) {
        unansweredLaunch.accept(new LaunchResult(outcome, List.of(ids)));
    }

    void answerTermination(boolean done) {
        unansweredTermination.accept(done);
    }

    void answerList(Outcome outcome, boolean more, ListedMachine... hosts) {
        unansweredList.accept(new Listing(outcome, List.of(hosts), more));
    }
}
