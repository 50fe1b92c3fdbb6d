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
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.StoredRecord;
import org.granitepath.storage.Timers;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: serves users always, and machines while it owns them. All calls come on the event loop. */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    /** Share of the store's requests that all controllers together may spend on reading the latest changes. */
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

    /** Makes a controller that does nothing before {@link #start}. */
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
        this.replica = new RecordReplica(store, timers, readSpacingMicros(config), new ReplicaListener());
        this.storeContact = new StoreContact(replica, timers);
        this.endedJobEviction = new EndedJobEviction(replica, jobIndex);
        this.currentTerm = new CurrentTerm(this::newTerm, this::knownMachineTypes);
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
                (notice, then) -> peers.announceCancellation(notice, leadership.leaderNode(), then));
        this.health = new ControllerHealth(replica, machineTypes, storeContact, peers);
        this.heartbeatRouter = newHeartbeatRouter();
        this.checks =
                new ControllerChecks(replica, redirectedMachines, currentTerm, leadership, peers, machineTypes, timers);
    }

    private HeartbeatRouter newHeartbeatRouter() {
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

    private LeaderTerm newTerm(Leadership.Term term) {
        TermPorts ports = new TermPorts(store, cloud, workers, peers);
        return new LeaderTermFactory(config, leadership, term, ports, replica, jobIndex, timers, recoveryTracer)
                .create();
    }

    private Collection<MachineType> knownMachineTypes() {
        return machineTypes.all();
    }

    /** Least time between two reads, from this controller's part of the share for reading. */
    private static long readSpacingMicros(Config config) {
        int controllers = config.topology().peers().size() + 1;
        double readsPerSecond = config.limits().storeRequestsPerSecond() * READ_SHARE / controllers;
        return (long) (1e6 / readsPerSecond);
    }

    /** Begins to follow the records, to stand for leader and to talk to the other controllers. */
    public void start() {
        replica.start();
        leadership.start();
        peers.start();
        checks.run();
    }

    /** Whether users may be sent here. */
    public boolean isHealthy() {
        return health.healthy();
    }

    private PeerPort.PeerStatus status() {
        return new PeerPort.PeerStatus(
                config.node(),
                replica.loaded() ? storeContact.ageMicros() : -1,
                currentTerm.isPresent(),
                redirectedMachines.count());
    }

    /** A peer tells how it is, and is told the same. */
    public PeerPort.PeerStatus handlePeerStatus(PeerPort.PeerStatus peerStatus) {
        peers.handleStatus(peerStatus);
        return status();
    }

    /** A peer has confirmed a cancellation that we may not be able to read: it is on record, so it counts at once. */
    public void handleCancellationNotice(PeerPort.CancellationNotice notice) {
        replica.applied(Keys.finalOf(notice.job()), new FinalRecord(FinalRecord.Outcome.CANCELLED), notice.revision());
    }

    /** Whether this controller leads. */
    public boolean isLeader() {
        return currentTerm.isPresent();
    }

    /** The fencing token of the present term of this controller; 0 while it does not lead. */
    public long fencingToken() {
        return leadership.fencingToken();
    }

    /** How far the recovery of the present term has come, or why this controller can't tell. */
    public RecoveryStatus recoveryStatus() {
        return RecoveryStatusFactory.of(config, leadership, replica, currentTerm.get(), timers.nowMicros());
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
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatRouter.answer(heartbeat);
    }

    /** Passes each changed record to the part that it concerns. */
    private final class ReplicaListener implements RecordReplica.Listener {
        @Override
        public void changed(String key, @Nullable StoredRecord record, long revision) {
            if (key.equals(Keys.LEADER)) {
                leadership.onLeaderRecordChanged();
            } else if (record instanceof MachineTypesRecord recorded) {
                machineTypes.recordRead(recorded.types());
            } else {
                jobIndex.changed(key, record);
                if (record != null) {
                    endedJobEviction.recordWritten(key);
                }
            }
        }

        @Override
        public void loaded() {
            LOG.info(
                    "records read: {} open jobs, leader {}", jobIndex.openJobs().size(), leadership.leaderNode());
        }
    }
}
