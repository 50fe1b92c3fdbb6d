package org.granitepath.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.bookkeeping.Fields;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.Keys;
import org.granitepath.bookkeeping.MachineType;
import org.granitepath.bookkeeping.Mirror;
import org.granitepath.bookkeeping.StatePort;
import org.granitepath.bookkeeping.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: serves users always, and machines while it owns them. All calls come on the event loop. */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final long TICK_MICROS = 1_000_000;
    /** Without word from the state service for this long a controller counts as out of touch. */
    static final long CUT_OFF_MICROS = 2_500_000;

    private static final long TURNED_AWAY_MICROS = 5_000_000;
    private static final long TYPES_MICROS = 60_000_000;
    /** Share of the state service's requests that all controllers together may spend on reading the latest changes. */
    private static final double READ_SHARE = 0.6;

    private final Config config;
    private final StatePort state;
    private final CloudPort cloud;
    private final WorkerPort workers;
    private final Timers timers;
    private final Mirror mirror;
    private final JobBook book = new JobBook();
    private final Leadership leadership;
    private final UserDesk desk;
    private final Peers peers;
    private final Deputy deputy;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private Dispatcher dispatcher;
    /** Machines that reported here while another controller owned them, and when. */
    private final Map<String, Long> turnedAway = new LinkedHashMap<>();

    private boolean askingTypes;
    private long typesDueMicros;

    public Controller(
            Config config, StatePort state, CloudPort cloud, WorkerPort workers, PeerPort peerPort, Timers timers) {
        this.config = config;
        this.state = state;
        this.cloud = cloud;
        this.workers = workers;
        this.timers = timers;
        double readsPerSecond =
                config.stateRequests() * READ_SHARE / (config.peers().size() + 1);
        this.mirror = new Mirror(state, timers, (long) (1e6 / readsPerSecond), new Mirror.Listener() {
            @Override
            public void changed(String key, Map<String, Object> value, long stamp) {
                recordChanged(key, value);
            }

            @Override
            public void loaded() {
                LOG.info("records read: {} open jobs, owner {}", book.openJobs().size(), leadership.ownerNode());
            }
        });
        this.peers = new Peers(config, peerPort, timers, this::greeting);
        this.leadership = new Leadership(
                config, state, mirror, timers, () -> peers.allOutOfTouch(CUT_OFF_MICROS), new Leadership.Listener() {
                    @Override
                    public void elected(Leadership.Term term) {
                        takeOffice(term);
                    }

                    @Override
                    public void deposed(String why) {
                        leaveOffice();
                    }
                });
        this.deputy = new Deputy(config, mirror, book, peers, timers);
        this.desk = new UserDesk(
                config,
                state,
                mirror,
                book,
                timers,
                () -> types,
                (word, then) -> peers.tellCancelled(word, leadership.ownerNode(), then));
    }

    public void start() {
        mirror.start();
        leadership.start();
        peers.start();
        tick();
    }

    /**
     * Whether users may be sent here. In an outage no controller can do better, so all stay; a controller that alone
     * has lost the state service sends users to the others.
     */
    public boolean healthy() {
        if (!mirror.loaded() || types.isEmpty()) {
            return false;
        }
        return contactAgeMicros() < CUT_OFF_MICROS || !peers.anyInTouch(CUT_OFF_MICROS);
    }

    private long contactAgeMicros() {
        return timers.nowMicros() - mirror.lastContactMicros();
    }

    private PeerPort.Greeting greeting() {
        return new PeerPort.Greeting(
                config.node(), mirror.loaded() ? contactAgeMicros() : -1, dispatcher != null, turnedAway.size());
    }

    /** A peer tells how it is, and is told the same. */
    public PeerPort.Greeting greeted(PeerPort.Greeting theirs) {
        peers.take(theirs);
        return greeting();
    }

    /** A peer has confirmed a cancellation that we may not be able to read: it is on record, so it counts at once. */
    public void cancelledElsewhere(PeerPort.Cancelled word) {
        mirror.applied(Keys.FINAL + word.job(), JobBook.finalRecord(JobBook.Final.CANCELLED), word.stamp());
    }

    public boolean owner() {
        return dispatcher != null;
    }

    public void submit(JobSpec spec, Consumer<UserAnswer> then) {
        desk.submit(spec, then);
    }

    public void poll(String id, Consumer<UserAnswer> then) {
        desk.poll(id, then);
    }

    public void cancel(String id, Consumer<UserAnswer> then) {
        desk.cancel(id, then);
    }

    public BeatAnswer beat(Beat beat) {
        if (dispatcher == null) {
            if (deputy.vouchesFor(beat)) {
                return deputy.answer(beat);
            }
            turnedAway.put(beat.host(), timers.nowMicros());
            String owner = leadership.ownerNode();
            // An owner that is cut from us is cut from the machines around us as well: going there would cost them
            // time.
            boolean current = contactAgeMicros() < CUT_OFF_MICROS || peers.ownerHeard();
            return current && owner != null && !owner.equals(config.node())
                    ? new BeatAnswer.Elsewhere(owner)
                    : new BeatAnswer.Unavailable();
        }
        return leadership.answersWorkers() ? dispatcher.beat(beat) : new BeatAnswer.Unavailable();
    }

    private void tick() {
        timers.after(TICK_MICROS, this::tick);
        if (mirror.loaded()) {
            mirror.barrier(fresh -> {});
        }
        long now = timers.nowMicros();
        turnedAway.values().removeIf(at -> at < now - TURNED_AWAY_MICROS);
        if (dispatcher != null && dispatcher.cutFromWorkers(peers.mostTurnedAway())) {
            leadership.abdicate("the machines reach the others, but not us");
        }
        if ((types.isEmpty() || (dispatcher != null && now >= typesDueMicros)) && !askingTypes) {
            askTypes();
        }
    }

    private void askTypes() {
        askingTypes = true;
        cloud.types(list -> {
            askingTypes = false;
            typesDueMicros = timers.nowMicros() + (list == null ? 2_000_000 : TYPES_MICROS);
            if (list != null) {
                learnTypes(list, true);
            }
        });
    }

    private void learnTypes(List<MachineType> list, boolean fromCloud) {
        if (!fromCloud && !types.isEmpty()) {
            return;
        }
        types.clear();
        for (MachineType t : list) {
            types.put(t.name(), t);
        }
        if (dispatcher != null) {
            dispatcher.typesChanged(list);
            if (fromCloud) {
                dispatcher.recordTypes(list);
            }
        }
    }

    private void recordChanged(String key, Map<String, Object> value) {
        if (key.equals(Keys.LEADER)) {
            leadership.leaderChanged();
        } else if (key.equals(Keys.TYPES) && value != null) {
            // So that a controller that starts while the cloud is down can judge submissions.
            @SuppressWarnings("unchecked")
            List<MachineType> list = Fields.listOf(value, "types").stream()
                    .map(t -> MachineType.fromMap((Map<String, Object>) t))
                    .toList();
            learnTypes(list, false);
        } else {
            book.changed(key, value);
            forgetEnded(key, value);
        }
    }

    /** Of a job that is over only the final state is kept; a day's descriptions would fill a small machine. */
    private void forgetEnded(String key, Map<String, Object> value) {
        for (String prefix : List.of(Keys.FINAL, Keys.JOB, Keys.PROGRESS)) {
            if (value != null && key.startsWith(prefix)) {
                String id = key.substring(prefix.length());
                if (book.finalOf(id) != null) {
                    mirror.forget(Keys.JOB + id);
                    mirror.forget(Keys.PROGRESS + id);
                }
            }
        }
    }

    private void takeOffice(Leadership.Term term) {
        dispatcher = new Dispatcher(config, leadership, term, state, mirror, book, timers, workers);
        if (!types.isEmpty()) {
            dispatcher.typesChanged(List.copyOf(types.values()));
            dispatcher.recordTypes(List.copyOf(types.values()));
        }
        new Autoscaler(config, dispatcher, leadership, peers, cloud, timers, term.baton());
    }

    private void leaveOffice() {
        if (dispatcher != null) {
            dispatcher.end();
            dispatcher = null;
        }
    }
}
