package org.granitepath.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.admission.JobRequestHandler;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.leadership.ZoneLeaseKeeper;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.coordination.term.LeaderTerm;
import org.granitepath.coordination.term.LeaderTermFactory;
import org.granitepath.coordination.term.RecoveryStatusFactory;
import org.granitepath.coordination.term.TermPorts;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.Keys;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.MachineTypesRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: serves users always, and machines while it owns them. All calls come on the event loop. */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final long TICK_MICROS = 1_000_000;
    private static final long REDIRECTED_MACHINE_MEMORY_MICROS = 5_000_000;
    private static final long TYPES_MICROS = 60_000_000;
    /** Share of the store's requests that all controllers together may spend on reading the latest changes. */
    private static final double READ_SHARE = 0.6;

    private final Config config;
    private final KeyValueStore store;
    private final CloudPort cloud;
    private final WorkerPort workers;
    private final Timers timers;
    private final RecordReplica replica;
    private final JobIndex jobIndex = new JobIndex();
    private final Leadership leadership;
    private final JobRequestHandler requestHandler;
    private final Peers peers;
    private final ZoneLeaseKeeper zoneLeaseKeeper;
    private final RecoveryTracer recoveryTracer;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private LeaderTerm leaderTerm;
    /** Machines that reported here while another controller owned them, and when. */
    private final Map<String, Long> redirectedMachines = new LinkedHashMap<>();

    private boolean askingTypes;
    private long typesDueMicros;

    /** Makes a controller that does nothing before {@link #start}. */
    public Controller(
            Config config,
            KeyValueStore store,
            CloudPort cloud,
            WorkerPort workers,
            PeerPort peerPort,
            Timers timers,
            RecoveryTracer recoveryTracer) {
        this.recoveryTracer = recoveryTracer;
        this.config = config;
        this.store = store;
        this.cloud = cloud;
        this.workers = workers;
        this.timers = timers;
        double readsPerSecond = config.limits().storeRequestsPerSecond()
                * READ_SHARE
                / (config.topology().peers().size() + 1);
        this.replica = new RecordReplica(store, timers, (long) (1e6 / readsPerSecond), new RecordReplica.Listener() {
            @Override
            public void changed(String key, StoredRecord record, long revision) {
                recordChanged(key, record);
            }

            @Override
            public void loaded() {
                LOG.info(
                        "records read: {} open jobs, leader {}",
                        jobIndex.openJobs().size(),
                        leadership.leaderNode());
            }
        });
        this.peers = new Peers(config, peerPort, timers, this::status);
        this.leadership = new Leadership(
                config,
                store,
                replica,
                timers,
                () -> peers.allDisconnected(Config.CONTACT_TIMEOUT_MICROS),
                new Leadership.Listener() {
                    @Override
                    public void elected(Leadership.Term term) {
                        startLeading(term);
                    }

                    @Override
                    public void leadershipLost(String why) {
                        stopLeading();
                    }
                });
        this.zoneLeaseKeeper = new ZoneLeaseKeeper(config, replica, id -> jobIndex.finalOf(id) != null, peers, timers);
        this.requestHandler = new JobRequestHandler(
                config,
                store,
                replica,
                jobIndex,
                timers,
                () -> types,
                (notice, then) -> peers.announceCancellation(notice, leadership.leaderNode(), then));
    }

    /** Begins to follow the records, to stand for leader and to talk to the other controllers. */
    public void start() {
        replica.start();
        leadership.start();
        peers.start();
        tick();
    }

    /**
     * Whether users may be sent here. In an outage no controller can do better, so all stay; a controller that alone
     * has lost the store sends users to the others.
     */
    public boolean healthy() {
        if (!replica.loaded() || types.isEmpty()) {
            return false;
        }
        return contactAgeMicros() < Config.CONTACT_TIMEOUT_MICROS || !peers.anyConnected(Config.CONTACT_TIMEOUT_MICROS);
    }

    private long contactAgeMicros() {
        return timers.nowMicros() - replica.lastContactMicros();
    }

    private PeerPort.PeerStatus status() {
        return new PeerPort.PeerStatus(
                config.node(),
                replica.loaded() ? contactAgeMicros() : -1,
                leaderTerm != null,
                redirectedMachines.size());
    }

    /** A peer tells how it is, and is told the same. */
    public PeerPort.PeerStatus statusReceived(PeerPort.PeerStatus theirs) {
        peers.take(theirs);
        return status();
    }

    /** A peer has confirmed a cancellation that we may not be able to read: it is on record, so it counts at once. */
    public void cancellationReceived(PeerPort.CancellationNotice notice) {
        replica.applied(Keys.FINAL + notice.job(), new FinalRecord(FinalRecord.Outcome.CANCELLED), notice.revision());
    }

    /** Whether this controller leads. */
    public boolean leader() {
        return leaderTerm != null;
    }

    /** The fencing token of the present term of this controller; 0 while it does not lead. */
    public long term() {
        return leadership.fencingToken();
    }

    /** How far the recovery of the present term has come, or why this controller can't tell. */
    public RecoveryStatus recoveryStatus() {
        return RecoveryStatusFactory.of(config, leadership, replica, leaderTerm, timers.nowMicros());
    }

    /** Takes a submission; answered once it is on record. */
    public void submit(JobSpec spec, Consumer<JobResponse> then) {
        requestHandler.submit(spec, then);
    }

    /** Tells the state of a job. */
    public void poll(String id, Consumer<JobResponse> then) {
        requestHandler.poll(id, then);
    }

    /** Cancels a job; answered once no task of it is started any more. */
    public void cancel(String id, Consumer<JobResponse> then) {
        requestHandler.cancel(id, then);
    }

    /** Takes a worker's heartbeat. */
    public HeartbeatResponse heartbeat(Heartbeat heartbeat) {
        if (leaderTerm == null) {
            if (zoneLeaseKeeper.mayRenew(heartbeat)) {
                return zoneLeaseKeeper.answer(heartbeat);
            }
            redirectedMachines.put(heartbeat.host(), timers.nowMicros());
            String leader = leadership.leaderNode();
            // A leader that is cut from us is cut from the machines around us as well: going there would cost them
            // time.
            boolean current = contactAgeMicros() < Config.CONTACT_TIMEOUT_MICROS || peers.leaderRecentlyHeard();
            return current && leader != null && !leader.equals(config.node())
                    ? new HeartbeatResponse.Redirect(leader)
                    : new HeartbeatResponse.Unavailable();
        }
        return leadership.answersWorkers() ? leaderTerm.heartbeat(heartbeat) : new HeartbeatResponse.Unavailable();
    }

    private void tick() {
        timers.after(TICK_MICROS, this::tick);
        if (replica.loaded()) {
            replica.barrier(fresh -> {});
        }
        long now = timers.nowMicros();
        redirectedMachines.values().removeIf(at -> at < now - REDIRECTED_MACHINE_MEMORY_MICROS);
        if (leaderTerm != null && leaderTerm.cutFromWorkers(peers.mostRedirectedMachines())) {
            leadership.stepDown("the machines reach the others, but not us");
        }
        if ((types.isEmpty() || (leaderTerm != null && now >= typesDueMicros)) && !askingTypes) {
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
        if (leaderTerm != null) {
            leaderTerm.typesChanged(list);
            if (fromCloud) {
                leaderTerm.recordTypes(list);
            }
        }
    }

    private void recordChanged(String key, StoredRecord record) {
        if (key.equals(Keys.LEADER)) {
            leadership.leaderChanged();
        } else if (record instanceof MachineTypesRecord recorded) {
            // So that a controller that starts while the cloud is down can judge submissions.
            learnTypes(recorded.types(), false);
        } else {
            jobIndex.changed(key, record);
            forgetEnded(key, record);
        }
    }

    /** Of a job that is over only the final state is kept; a day's descriptions would fill a small machine. */
    private void forgetEnded(String key, StoredRecord record) {
        for (String prefix : List.of(Keys.FINAL, Keys.JOB, Keys.PROGRESS)) {
            if (record != null && key.startsWith(prefix)) {
                String id = key.substring(prefix.length());
                if (jobIndex.finalOf(id) != null) {
                    replica.forget(Keys.JOB + id);
                    replica.forget(Keys.PROGRESS + id);
                }
            }
        }
    }

    private void startLeading(Leadership.Term term) {
        TermPorts ports = new TermPorts(store, cloud, workers, peers);
        leaderTerm = new LeaderTermFactory(config, leadership, term, ports, replica, jobIndex, timers, recoveryTracer)
                .create();
        leaderTerm.start();
        if (!types.isEmpty()) {
            leaderTerm.typesChanged(List.copyOf(types.values()));
            leaderTerm.recordTypes(List.copyOf(types.values()));
        }
        leaderTerm.startAutoscaling();
    }

    private void stopLeading() {
        if (leaderTerm != null) {
            leaderTerm.end();
            leaderTerm = null;
        }
    }
}
