package org.granitepath.coordination;

import java.util.List;
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
    private static final long TICK_MICROS = 1_000_000;
    /** Share of the store's requests that all controllers together may spend on reading the latest changes. */
    private static final double READ_SHARE = 0.6;

    private final Config config;
    private final KeyValueStore store;
    private final CloudPort cloud;
    private final WorkerPort workers;
    private final Timers timers;
    private final RecoveryTracer recoveryTracer;
    private final RecordReplica replica;
    private final JobIndex jobIndex = new JobIndex();
    private final Leadership leadership;
    private final JobRequestHandler requestHandler;
    private final Peers peers;
    private final ZoneLeaseKeeper zoneLeaseKeeper;
    private final MachineTypeCatalog machineTypes;
    private final RedirectedMachines redirectedMachines = new RedirectedMachines();
    /** The present term of this controller; null while it does not lead. */
    private @Nullable LeaderTerm leaderTerm;

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
        this.peers = new Peers(config, peerPort, timers, this::status);
        this.leadership = new Leadership(
                config,
                store,
                replica,
                timers,
                () -> peers.allDisconnected(Config.CONTACT_TIMEOUT_MICROS),
                new LeadershipListener());
        this.zoneLeaseKeeper = new ZoneLeaseKeeper(config, replica, jobIndex::hasEnded, peers, timers);
        this.machineTypes = new MachineTypeCatalog(cloud, timers, new MachineTypeListener());
        this.requestHandler = new JobRequestHandler(
                config,
                store,
                replica,
                jobIndex,
                timers,
                machineTypes::all,
                (notice, then) -> peers.announceCancellation(notice, leadership.leaderNode(), then));
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
        tick();
    }

    /**
     * Whether users may be sent here. In an outage no controller can do better, so all stay; a controller that alone
     * has lost the store sends users to the others.
     */
    public boolean healthy() {
        if (!replica.loaded() || machineTypes.isEmpty()) {
            return false;
        }
        return inContact() || !peers.anyConnected(Config.CONTACT_TIMEOUT_MICROS);
    }

    private boolean inContact() {
        return contactAgeMicros() < Config.CONTACT_TIMEOUT_MICROS;
    }

    private long contactAgeMicros() {
        return timers.nowMicros() - replica.lastContactMicros();
    }

    private PeerPort.PeerStatus status() {
        return new PeerPort.PeerStatus(
                config.node(),
                replica.loaded() ? contactAgeMicros() : -1,
                leaderTerm != null,
                redirectedMachines.count());
    }

    /** A peer tells how it is, and is told the same. */
    public PeerPort.PeerStatus statusReceived(PeerPort.PeerStatus peerStatus) {
        peers.statusReceived(peerStatus);
        return status();
    }

    /** A peer has confirmed a cancellation that we may not be able to read: it is on record, so it counts at once. */
    public void cancellationReceived(PeerPort.CancellationNotice notice) {
        replica.applied(Keys.finalOf(notice.job()), new FinalRecord(FinalRecord.Outcome.CANCELLED), notice.revision());
    }

    /** Whether this controller leads. */
    public boolean leader() {
        return leaderTerm != null;
    }

    /** The fencing token of the present term of this controller; 0 while it does not lead. */
    public long fencingToken() {
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
        if (leaderTerm != null) {
            return leadership.answersWorkers() ? leaderTerm.heartbeat(heartbeat) : new HeartbeatResponse.Unavailable();
        }
        if (zoneLeaseKeeper.mayRenew(heartbeat)) {
            return zoneLeaseKeeper.answer(heartbeat);
        }
        redirectedMachines.add(heartbeat.host(), timers.nowMicros());
        return redirectToLeader();
    }

    /**
     * A leader that is cut from us is cut from the machines around us as well: going there would cost them time.
     */
    private HeartbeatResponse redirectToLeader() {
        String leader = leadership.leaderNode();
        boolean leaderIsReachable = inContact() || peers.hasRecentStatusOfLeader();
        return leaderIsReachable && leader != null && !leader.equals(config.node())
                ? new HeartbeatResponse.Redirect(leader)
                : new HeartbeatResponse.Unavailable();
    }

    private void tick() {
        timers.after(TICK_MICROS, this::tick);
        if (replica.loaded()) {
            replica.barrier(fresh -> {});
        }
        long nowMicros = timers.nowMicros();
        redirectedMachines.forgetOld(nowMicros);
        if (leaderTerm != null && leaderTerm.cutFromWorkers(peers.mostRedirectedMachines())) {
            leadership.stepDown("the machines reach the others, but not us");
        }
        if (leaderTerm != null) {
            machineTypes.refreshIfDue(nowMicros);
        } else {
            machineTypes.fetchIfUnknown();
        }
    }

    /** Of a job that is over only the final state is kept; a day's descriptions would fill a small machine. */
    private void forgetEnded(String key, @Nullable StoredRecord record) {
        for (String prefix : List.of(Keys.FINAL, Keys.JOB, Keys.PROGRESS)) {
            if (record != null && key.startsWith(prefix)) {
                String id = key.substring(prefix.length());
                if (jobIndex.hasEnded(id)) {
                    replica.forget(Keys.job(id));
                    replica.forget(Keys.progress(id));
                }
            }
        }
    }

    /** Passes each changed record to the part that it concerns. */
    private final class ReplicaListener implements RecordReplica.Listener {
        @Override
        public void changed(String key, @Nullable StoredRecord record, long revision) {
            if (key.equals(Keys.LEADER)) {
                leadership.leaderChanged();
            } else if (record instanceof MachineTypesRecord recorded) {
                machineTypes.recordRead(recorded.types());
            } else {
                jobIndex.changed(key, record);
                forgetEnded(key, record);
            }
        }

        @Override
        public void loaded() {
            LOG.info(
                    "records read: {} open jobs, leader {}", jobIndex.openJobs().size(), leadership.leaderNode());
        }
    }

    /** Begins and ends the terms of this controller. */
    private final class LeadershipListener implements Leadership.Listener {
        @Override
        public void elected(Leadership.Term term) {
            TermPorts ports = new TermPorts(store, cloud, workers, peers);
            leaderTerm = new LeaderTermFactory(
                            config, leadership, term, ports, replica, jobIndex, timers, recoveryTracer)
                    .create();
            leaderTerm.start();
            if (!machineTypes.isEmpty()) {
                List<MachineType> types = List.copyOf(machineTypes.all());
                leaderTerm.typesChanged(types);
                leaderTerm.recordTypes(types);
            }
            leaderTerm.startAutoscaling();
        }

        @Override
        public void leadershipLost(String why) {
            if (leaderTerm != null) {
                leaderTerm.end();
                leaderTerm = null;
            }
        }
    }

    /** Passes new machine types to the present term, if this controller leads. */
    private final class MachineTypeListener implements MachineTypeCatalog.Listener {
        @Override
        public void fetched(List<MachineType> types) {
            if (leaderTerm != null) {
                leaderTerm.typesChanged(types);
                leaderTerm.recordTypes(types);
            }
        }

        @Override
        public void readFromRecord(List<MachineType> types) {
            if (leaderTerm != null) {
                leaderTerm.typesChanged(types);
            }
        }
    }
}
