package org.granitepath.coordination;

import java.util.Collection;
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
import org.granitepath.storage.Micros;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller process. It answers user requests at any time, and manages the machines while it is the leader. All
 * methods must be called on the event loop.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    /** The share of the store's request limit that all controllers together may spend on reading changes. */
    private static final double READ_SHARE = 0.6;

    private final Config config;
    private final KeyValueStore store;
    private final CloudPort cloud;
    private final WorkerPort workers;
    private final Timers timers;
    private final RecoveryTracer recoveryTracer;
    private final RecordReplica replica;
    private final StoreContact storeContact;
    private final JobIndex jobIndex = new JobIndex();
    private final EndedJobEviction endedJobEviction;
    private final CurrentTerm currentTerm;
    private final Leadership leadership;
    private final JobRequestHandler requestHandler;
    private final Peers peers;
    private final ZoneLeaseKeeper zoneLeaseKeeper;
    private final MachineTypeCatalog machineTypes;
    private final RedirectedMachines redirectedMachines = new RedirectedMachines();
    private final ControllerHealth health;
    private final HeartbeatRouter heartbeatRouter;
    private final ControllerChecks checks;

    /** Creates a controller that does nothing until {@link #start} is called. */
    public Controller(
            Config config,
            KeyValueStore store,
            CloudPort cloud,
            WorkerPort workers,
            PeerPort peerPort,
            Timers timers,
            RecoveryTracer recoveryTracer) {
        this.config = config;
        this.store = store;
        this.cloud = cloud;
        this.workers = workers;
        this.timers = timers;
        this.recoveryTracer = recoveryTracer;
        this.replica = new RecordReplica(store, timers, minReadIntervalMicros(config), new ReplicaListener());
        this.storeContact = new StoreContact(replica, timers);
        this.endedJobEviction = new EndedJobEviction(replica, jobIndex);
        this.currentTerm = new CurrentTerm(this::createTerm, this::knownMachineTypes);
        this.peers = new Peers(config, peerPort, timers, this::status);
        this.leadership = new Leadership(
                config,
                store,
                replica,
                timers,
                () -> peers.isEveryPeerDisconnected(Config.CONTACT_TIMEOUT_MICROS),
                currentTerm);
        this.zoneLeaseKeeper = new ZoneLeaseKeeper(config, replica, jobIndex::hasEnded, peers, timers);
        this.machineTypes = new MachineTypeCatalog(cloud, timers, currentTerm);
        this.requestHandler = new JobRequestHandler(
                config,
                store,
                replica,
                jobIndex,
                timers,
                machineTypes::all,
                (notice, callback) -> peers.announceCancellation(notice, leadership.leaderNode(), callback));
        this.health = new ControllerHealth(replica, machineTypes, storeContact, peers);
        this.heartbeatRouter = createHeartbeatRouter();
        this.checks =
                new ControllerChecks(replica, redirectedMachines, currentTerm, leadership, peers, machineTypes, timers);
    }

    private HeartbeatRouter createHeartbeatRouter() {
        return new HeartbeatRouter(
                config.node(),
                currentTerm,
                leadership,
                zoneLeaseKeeper,
                redirectedMachines,
                storeContact,
                peers,
                timers);
    }

    private LeaderTerm createTerm(Leadership.Term term) {
        TermPorts ports = new TermPorts(store, cloud, workers, peers);
        return new LeaderTermFactory(config, leadership, term, ports, replica, jobIndex, timers, recoveryTracer)
                .create();
    }

    private Collection<MachineType> knownMachineTypes() {
        return machineTypes.all();
    }

    /**
     * Returns the minimum time between two reads: {@link #READ_SHARE} of the store's request limit is divided evenly
     * among all controllers.
     */
    private static long minReadIntervalMicros(Config config) {
        int controllers = config.topology().peers().size() + 1;
        double readsPerSecond = config.limits().storeRequestsPerSecond() * READ_SHARE / controllers;
        return (long) (Micros.PER_SECOND / readsPerSecond);
    }

    /** Starts following the records in the store, campaigning for leadership and exchanging status with the peers. */
    public void start() {
        replica.start();
        leadership.start();
        peers.start();
        checks.run();
    }

    /** Returns whether user requests may be sent to this controller. */
    public boolean isHealthy() {
        return health.isHealthy();
    }

    private PeerPort.PeerStatus status() {
        return new PeerPort.PeerStatus(
                config.node(),
                replica.isLoaded() ? storeContact.ageMicros() : -1,
                currentTerm.isPresent(),
                redirectedMachines.count());
    }

    /** Records the status that a peer sent, and returns the status of this controller in reply. */
    public PeerPort.PeerStatus handlePeerStatus(PeerPort.PeerStatus peerStatus) {
        peers.handleStatus(peerStatus);
        return status();
    }

    /**
     * Applies a cancellation that a peer has sent. The cancellation is committed to the store, so it takes effect here
     * at once, even if this controller cannot read the store at the moment.
     */
    public void handleCancellationNotice(PeerPort.CancellationNotice notice) {
        replica.applyCommitted(
                Keys.finalRecordKey(notice.job()), new FinalRecord(FinalRecord.Outcome.CANCELLED), notice.revision());
    }

    /** Returns whether this controller is the leader and its term has started. */
    public boolean isLeader() {
        return currentTerm.isPresent();
    }

    /** Returns the fencing token of this controller's current term, or 0 if it is not the leader. */
    public long fencingToken() {
        return leadership.fencingToken();
    }

    /** Returns the progress of the recovery in the current term, or the reason why this controller does not know it. */
    public RecoveryStatus recoveryStatus() {
        return RecoveryStatusFactory.of(config, leadership, replica, currentTerm.get(), timers.nowMicros());
    }

    /** Submits a job. {@code callback} receives the response once the job is committed to the store. */
    public void submit(JobSpec spec, Consumer<JobResponse> callback) {
        requestHandler.submit(spec, callback);
    }

    /** Looks up a job. {@code callback} receives its state. */
    public void poll(String id, Consumer<JobResponse> callback) {
        requestHandler.poll(id, callback);
    }

    /**
     * Cancels a job. {@code callback} receives the response once no controller can start a task of the job any more.
     */
    public void cancel(String id, Consumer<JobResponse> callback) {
        requestHandler.cancel(id, callback);
    }

    /** Processes a worker's heartbeat and returns the response to it. */
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatRouter.route(heartbeat);
    }

    /** Dispatches each changed record to the component that uses it. */
    private final class ReplicaListener implements RecordReplica.Listener {
        @Override
        public void onRecordChanged(String key, @Nullable StoredRecord record, long revision) {
            if (key.equals(Keys.LEADER)) {
                leadership.onLeaderRecordChanged();
            } else if (record instanceof MachineTypesRecord recorded) {
                machineTypes.onRecordRead(recorded.types());
            } else {
                jobIndex.applyRecord(key, record);
                if (record != null) {
                    endedJobEviction.onRecordWritten(key);
                }
            }
        }

        @Override
        public void onLoaded() {
            LOG.info(
                    "records read: {} open jobs, leader {}", jobIndex.openJobs().size(), leadership.leaderNode());
        }
    }
}
