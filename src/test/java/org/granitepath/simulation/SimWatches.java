package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.granitepath.storage.KeyValueStore;

/** The long polls that wait for changes of the simulated store. */
final class SimWatches {
    private static final class Watch {
        private final String prefix;
        private final long fromRevision;
        private final Consumer<KeyValueStore.Page> callback;
        private boolean answered;

        Watch(String prefix, long fromRevision, Consumer<KeyValueStore.Page> callback) {
            this.prefix = prefix;
            this.fromRevision = fromRevision;
            this.callback = callback;
        }
    }

    private final SimEnvironment environment;
    private final SimStoreKeys keys;
    private final List<Watch> watches = new ArrayList<>();

    SimWatches(SimEnvironment environment, SimStoreKeys keys) {
        this.environment = environment;
        this.keys = keys;
    }

    /** Answers with the changes after a revision as soon as there are some, or with none after the wait. */
    void follow(String prefix, long fromRevision, long waitMicros, Consumer<KeyValueStore.Page> callback) {
        Watch watch = new Watch(prefix, fromRevision, callback);
        watches.add(watch);
        answer(watch, waitMicros == 0);
        if (!watch.answered) {
            environment.after(waitMicros, () -> answer(watch, true));
        }
    }

    /** Answers the long polls for which there are changes by now. */
    void notifyWatches() {
        for (Watch watch : List.copyOf(watches)) {
            answer(watch, false);
        }
    }

    private void answer(Watch watch, boolean allowEmpty) {
        if (watch.answered) {
            return;
        }
        KeyValueStore.Page page = keys.changes(watch.prefix, watch.fromRevision);
        if (allowEmpty || !page.items().isEmpty()) {
            watch.answered = true;
            watches.remove(watch);
            watch.callback.accept(page);
        }
    }
}
