package org.granitepath.coordination;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.MachineType;
import org.granitepath.bookkeeping.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines for work that waits and returns those that nothing needs. A stale leader does no harm here: machines
 * that nobody asked for are found in the list or by their reports, and are used or returned.
 */
final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    private static final long TICK_MICROS = 1_000_000;
    private static final long REFUSED_MICROS = 15_000_000;
    private static final long SERVICE_HORIZON_MICROS = 600_000_000;
    /** A service that starts this much later is worth half as much to its users. */
    private static final double LATE_START_MICROS = 120e6;
    static final long LEAST_CHARGE_MICROS = 60_000_000;
    private static final long SUMMARY_MICROS = 10_000_000;
    private static final int RENT_AT_ONCE = 50;
    private static final int RETURN_AT_ONCE = 100;
    private static final int LIST_PAGE = 500;
    private static final int MOST_PLANNED = 2000;

    /** Beyond this many boot times a machine may be late by much, or never come: it is not waited for. */
    private static final double LATE_BOOT = 1.6;

    /** A machine rented and not yet heard. */
    private record Booting(String id, MachineType type, String zone, boolean spot, long rentedMicros) {
        boolean overdue(long now) {
            return now - rentedMicros > LATE_BOOT * type.bootMicros();
        }
    }

    private record Offer(MachineType type, String zone, boolean spot, ActiveJob job) {
        String key() {
            return type.name() + "/" + zone + "/" + spot;
        }
    }

    /** Room on a machine that is on its way. */
    private static final class Bin {
        final MachineType type;
        final String zone;
        final boolean spot;
        long cpu;
        long gpu;
        long memory;

        Bin(MachineType type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            cpu = type.cpuMillis();
            gpu = type.gpuMillis();
            memory = type.memoryMillis();
        }

        boolean take(JobSpec s) {
            if (!s.allowsType(type.name()) || !s.allowsZone(zone) || spot && !s.spot() || s.cpuMillis() > cpu
                    || s.gpuMillis() > gpu || s.memoryMillis() > memory) {
                return false;
            }
            cpu -= s.cpuMillis();
            gpu -= s.gpuMillis();
            memory -= s.memoryMillis();
            return true;
        }
    }

    private final Config config;
    private final Dispatcher dispatcher;
    private final Leadership leadership;
    private final Peers peers;
    private final CloudPort cloud;
    private final Timers timers;
    private final long baton;
    private final Map<String, Booting> booting = new LinkedHashMap<>();
    private final Map<String, Long> refusedUntil = new HashMap<>();
    private final Map<String, Long> returned = new HashMap<>();
    private long bookings;
    /** CPUs for batch work on machines on their way, in the plan at hand. */
    private double roomComing;
    private final Object2IntOpenHashMap<Alike> alikeLeft = new Object2IntOpenHashMap<>();
    /** CPUs that live services could take beyond the headroom wanted for them. */
    private double headroomSpare = Double.MAX_VALUE;
    private boolean renting;
    private boolean returning;
    private boolean listing;
    private long listDueMicros;
    private long summaryDueMicros;
    private boolean listedOnce;
    private double tokens = 1;
    private long tokensAtMicros;

    Autoscaler(Config config, Dispatcher dispatcher, Leadership leadership, Peers peers, CloudPort cloud,
               Timers timers, long baton) {
        this.config = config;
        this.dispatcher = dispatcher;
        this.leadership = leadership;
        this.peers = peers;
        this.cloud = cloud;
        this.timers = timers;
        this.baton = baton;
        this.tokensAtMicros = timers.nowMicros();
        timers.after(TICK_MICROS / 10, this::tick);
    }

    private void tick() {
        if (dispatcher.ended()) {
            return;
        }
        timers.after(TICK_MICROS, this::tick);
        if (!leadership.certain() || dispatcher.types().isEmpty()) {
            return;
        }
        long now = timers.nowMicros();
        booting.values().removeIf(b -> {
            Machine m = dispatcher.machine(b.id());
            if (m != null) {
                m.rentedMicros = b.rentedMicros();
            }
            return m != null;
        });
        refusedUntil.values().removeIf(until -> until < now);
        returned.values().removeIf(at -> at < now - 120_000_000);
        summarize(now);
        list(now);
        // What a predecessor rented shows in the list; renting before reading it would buy everything twice.
        if (listedOnce) {
            rent(now);
        }
        giveBack(now);
    }

    /** One line for those on call: what there is, what of it is used, what waits. */
    private void summarize(long now) {
        if (now < summaryDueMicros) {
            return;
        }
        summaryDueMicros = now + SUMMARY_MICROS;
        long[] cpu = new long[2];
        long[] used = new long[2];
        int idle = 0;
        for (Machine m : dispatcher.machines()) {
            if (m.type != null) {
                int kind = m.spot ? 1 : 0;
                cpu[kind] += m.type.cpuMillis();
                used[kind] += m.type.cpuMillis() - m.cpuFree();
                idle += m.placements.isEmpty() ? 1 : 0;
            }
        }
        int waiting = 0;
        int running = 0;
        for (ActiveJob j : dispatcher.jobs()) {
            waiting += Math.max(0, j.waiting());
            running += j.running();
        }
        LOG.info("fleet: {} machines ({} idle, {} on their way), CPUs used {}/{} and spot {}/{}; tasks {} running, {} "
                + "waiting, {} jobs", dispatcher.machines().size(), idle, booting.size(), used[0] / 1000, cpu[0] / 1000,
                used[1] / 1000, cpu[1] / 1000, running, waiting, dispatcher.jobs().size());
    }

    private boolean mayCall(long now) {
        double rate = config.cloudRequests() * 0.8;
        tokens = Math.min(Math.max(1, rate), tokens + (now - tokensAtMicros) * rate / 1e6);
        tokensAtMicros = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    // ---- what there is -------------------------------------------------------------------------------------------

    private void list(long now) {
        if (!listing && now >= listDueMicros && mayCall(now)) {
            listing = true;
            listPage("");
        }
    }

    private void listPage(String from) {
        cloud.list(from, LIST_PAGE, listing -> {
            if (dispatcher.ended()) {
                return;
            }
            long now = timers.nowMicros();
            if (listing.outcome() != CloudPort.Outcome.OK) {
                this.listing = false;
                listDueMicros = now + 2_000_000;
                return;
            }
            String last = from;
            for (CloudPort.ListedHost h : listing.hosts()) {
                last = h.id();
                take(h, now);
            }
            if (listing.more()) {
                listPage(last);
                return;
            }
            this.listing = false;
            listedOnce = true;
            listDueMicros = now + 6_000_000;
        });
    }

    private void take(CloudPort.ListedHost h, long now) {
        MachineType type = dispatcher.types().get(h.type());
        if (type == null || returned.containsKey(h.id()) || dispatcher.machine(h.id()) != null) {
            return;
        }
        if (!booting.containsKey(h.id())) {
            LOG.info("machine {} ({} {}) is listed as {}", h.id(), h.type(), h.zone(), h.state());
            long age = h.state() == CloudPort.HostState.FAILED ? Long.MAX_VALUE / 4 : h.ageMicros();
            booting.put(h.id(), new Booting(h.id(), type, h.zone(), h.spot(), now - age));
        }
    }

    // ---- renting -------------------------------------------------------------------------------------------------

    private boolean buysFor(ActiveJob job, long now) {
        return job.waiting() > 0 && job.waitingSinceMicros >= 0 && job.notBeforeMicros <= now
                && dispatcher.teamAllows(job.spec);
    }

    private void rent(long now) {
        if (renting) {
            return;
        }
        List<Bin> bins = new ArrayList<>();
        for (Booting b : booting.values()) {
            if (!b.overdue(now)) {
                bins.add(new Bin(b.type(), b.zone(), b.spot()));
            }
        }
        for (Machine m : dispatcher.machines()) {
            // Just arrived and not yet ready for tasks.
            if (m.phase == Machine.Phase.UNCONFIRMED && m.type != null && m.placements.isEmpty() && !m.inherited) {
                bins.add(new Bin(m.type, m.zone, m.spot));
            }
        }
        List<ActiveJob> waiting = new ArrayList<>();
        for (ActiveJob j : dispatcher.jobs()) {
            if (buysFor(j, now)) {
                waiting.add(j);
            }
        }
        waiting.sort(Comparator.comparing((ActiveJob j) -> j.spec.rank()).thenComparing(j -> j.acceptedMicros));
        dispatcher.outlook().look(now);
        roomComing = 0;
        for (Bin bin : bins) {
            roomComing += bin.type.cpuMillis();
        }
        Map<String, Integer> counts = new LinkedHashMap<>();
        Map<String, Offer> offers = new HashMap<>();
        alikeLeft.clear();
        for (ActiveJob job : waiting) {
            if (Outlook.isLive(job)) {
                alikeLeft.addTo(Alike.of(job.spec), job.waiting());
            }
        }
        boolean liveDone = false;
        for (ActiveJob job : waiting) {
            if (!liveDone && !Outlook.isLive(job)) {
                // What is on its way is headroom once the live services at hand have theirs, whatever else wants it.
                planHeadroom(bins, counts, offers);
                liveDone = true;
            }
            plan(job, bins, counts, offers, now);
        }
        if (!liveDone) {
            planHeadroom(bins, counts, offers);
        }
        Offer best = null;
        int most = 0;
        for (var e : counts.entrySet()) {
            Offer offer = offers.get(e.getKey());
            boolean live = Outlook.isLive(offer.job());
            if (best == null || live && !Outlook.isLive(best.job())
                    || live == Outlook.isLive(best.job()) && e.getValue() > most) {
                most = e.getValue();
                best = offer;
            }
        }
        if (best != null && mayCall(now)) {
            order(best, Math.min(most, RENT_AT_ONCE));
        }
    }

    /**
     * Room that live services can take at once, free or by stopping lower work, for as many as arrive while a machine
     * boots. Lower work may use it meanwhile.
     */
    private void planHeadroom(List<Bin> bins, Map<String, Integer> counts, Map<String, Offer> offers) {
        ActiveJob newest = dispatcher.arrivals().newest();
        headroomSpare = Double.MAX_VALUE;
        if (newest == null) {
            return;
        }
        Map<String, Double> roomByZone = new HashMap<>();
        double room = 0;
        double live = 0;
        for (Machine m : dispatcher.machines()) {
            if (!m.spot && m.type != null && m.phase != Machine.Phase.RETURNING && m.type.fits(newest.spec)) {
                double free = m.type.cpuMillis() - m.cpuUsedByServices();
                live += m.cpuUsedByServices();
                room += free;
                roomByZone.merge(m.zone, free, Double::sum);
            }
        }
        for (Bin bin : bins) {
            if (!bin.spot) {
                room += bin.cpu;
                roomByZone.merge(bin.zone, (double) bin.cpu, Double::sum);
            }
        }
        Map<String, Integer> none = new HashMap<>();
        Offer offer = cheapest(newest, true, Integer.MAX_VALUE, none, counts, timers.nowMicros());
        if (offer == null) {
            return;
        }
        double wanted = Math.min(dispatcher.arrivals().cpuPerMicro(timers.nowMicros()) * offer.type().bootMicros(),
                config.tuning().headroomShare() * live);
        headroomSpare = room - wanted;
        if (room < wanted) {
            String zone = offer.type().zones().stream().filter(z -> !refusedUntil.containsKey(
                    new Offer(offer.type(), z, false, newest).key()))
                    .min(Comparator.comparingDouble(z -> roomByZone.getOrDefault(z, 0.0))).orElse(offer.zone());
            Offer there = new Offer(offer.type(), zone, false, newest);
            offers.putIfAbsent(there.key(), there);
            counts.merge(there.key(), (int) Math.ceil((wanted - room) / offer.type().cpuMillis()), Integer::sum);
        }
    }

    /** Live services that need the same are bought for as a class: they share machines. */
    private record Alike(long cpu, long gpu, long memory, List<String> types, String zone, boolean spot) {
        static Alike of(JobSpec s) {
            return new Alike(s.cpuMillis(), s.gpuMillis(), s.memoryMillis(), s.types(), s.zone(), s.spot());
        }
    }

    private void plan(ActiveJob job, List<Bin> bins, Map<String, Integer> counts, Map<String, Offer> offers,
                      long now) {
        JobSpec spec = job.spec;
        Map<String, Integer> zoneCounts = new HashMap<>(job.zoneCounts);
        int left = Math.min(job.waiting(), MOST_PLANNED);
        Alike alike = Alike.of(spec);
        // From here on the class lacks what the jobs after this one want.
        int others = Outlook.isLive(job) ? alikeLeft.addTo(alike, -job.waiting()) - job.waiting() : 0;
        boolean patient = dispatcher.outlook().patient(job, roomComing, now);
        for (Bin bin : bins) {
            while (left > 0 && (bin.spot || !patient) && zoneCounts.getOrDefault(bin.zone, 0) < spec.zoneCap()
                    && bin.take(spec)) {
                zoneCounts.merge(bin.zone, 1, Integer::sum);
                left--;
            }
        }
        while (left > 0) {
            Offer offer = cheapest(job, !dispatcher.outlook().patient(job, roomComing, now), left + others,
                    zoneCounts, counts, now);
            if (offer == null) {
                return;
            }
            Bin bin = new Bin(offer.type(), offer.zone(), offer.spot());
            int before = left;
            while (left > 0 && zoneCounts.getOrDefault(bin.zone, 0) < spec.zoneCap() && bin.take(spec)) {
                zoneCounts.merge(bin.zone, 1, Integer::sum);
                left--;
            }
            if (left == before) {
                return;
            }
            bins.add(bin);
            roomComing += job.spec.service() ? 0 : bin.type.cpuMillis();
            offers.putIfAbsent(offer.key(), offer);
            counts.merge(offer.key(), 1, Integer::sum);
        }
    }

    /** The offer with the lowest cost for each task of this job, from rental to the task's end. */
    private Offer cheapest(ActiveJob job, boolean fullPrice, int left, Map<String, Integer> zoneCounts,
                           Map<String, Integer> counts, long now) {
        JobSpec spec = job.spec;
        Offer best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long horizon = spec.service() ? SERVICE_HORIZON_MICROS : dispatcher.estimates().taskMicros(job);
        for (MachineType type : dispatcher.types().values()) {
            if (!type.fits(spec)) {
                continue;
            }
            int used = Math.min(type.slots(spec), left);
            long ready = type.bootMicros() + (long) (spec.imageGb() / type.fetchGbPerSecond() * 1e6);
            for (String zone : type.zones()) {
                if (!spec.allowsZone(zone) || zoneCounts.getOrDefault(zone, 0) >= spec.zoneCap()) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    Offer offer = new Offer(type, zone, spot, job);
                    if (spot && !spec.spot() || !spot && !fullPrice || refusedUntil.containsKey(offer.key())) {
                        continue;
                    }
                    double cost = type.priceFor(spot) * Math.max(ready + horizon, LEAST_CHARGE_MICROS) / used;
                    if (spec.hasDeadline() && ready + horizon > spec.deadlineMicros() - dispatcher.ageMicros(job, now)) {
                        if (!spot && spec.spot()) {
                            continue; // late all the same: then it can wait for cheaper room
                        }
                        cost *= 2;
                    }
                    if (spec.service()) {
                        cost *= 1 + ready / LATE_START_MICROS;
                    }
                    // Among equals the zone with the fewest machines on their way.
                    cost *= 1 + 0.001 * counts.getOrDefault(offer.key(), 0) + 0.0005 * zoneCounts.getOrDefault(zone, 0);
                    if (cost < bestCost) {
                        bestCost = cost;
                        best = offer;
                    }
                }
            }
        }
        return best;
    }

    private void order(Offer offer, int count) {
        renting = true;
        // The baton is unique to this term of ownership, so no booking's name is ever used twice.
        String booking = "b" + baton + "-" + ++bookings;
        LOG.info("renting {} of {} in {}{} as {}, first for {} ({}, {} tasks wait; batch drains "
                + "in {} s)", count, offer.type().name(),
                offer.zone(), offer.spot() ? " (spot)" : "", booking, offer.job().spec.id(),
                offer.job().spec.jobClass(), offer.job().waiting(),
                Math.round(dispatcher.outlook().drainMicros(roomComing) / 1e6));
        send(new CloudPort.Rental(booking, offer.type().name(), offer.zone(), offer.spot(), count), offer, 0);
    }

    private void send(CloudPort.Rental rental, Offer offer, int tries) {
        cloud.rent(rental, answer -> {
            if (dispatcher.ended()) {
                return;
            }
            long now = timers.nowMicros();
            switch (answer.outcome()) {
                case OK -> {
                    for (String id : answer.hosts()) {
                        booting.putIfAbsent(id, new Booting(id, offer.type(), offer.zone(), offer.spot(), now));
                    }
                    if (answer.hosts().size() < rental.count()) {
                        refusedUntil.put(offer.key(), now + REFUSED_MICROS);
                    }
                    LOG.info("rental {} brought {} of {}", rental.booking(), answer.hosts().size(), rental.count());
                    renting = false;
                    rent(now);
                }
                case NO_CAPACITY -> {
                    LOG.info("rental {} refused: no capacity for {}", rental.booking(), offer.key());
                    refusedUntil.put(offer.key(), now + REFUSED_MICROS);
                    renting = false;
                    rent(now);
                }
                case REFUSED, UNKNOWN -> {
                    // It may have been carried out: only the same booking tells, and rents nothing twice.
                    if (tries < 20) {
                        timers.after(1_000_000, () -> {
                            if (!dispatcher.ended()) {
                                send(rental, offer, tries + 1);
                            }
                        });
                    } else {
                        renting = false;
                    }
                }
            }
        });
    }

    // ---- returning -----------------------------------------------------------------------------------------------

    private void giveBack(long now) {
        List<String> ids = new ArrayList<>();
        for (Booting b : booting.values()) {
            if (now - b.rentedMicros() > 3 * b.type().bootMicros() + 30_000_000 && ids.size() < RETURN_AT_ONCE) {
                LOG.info("returning {}: not up after {} s", b.id(), (now - b.rentedMicros()) / 1_000_000);
                ids.add(b.id());
            }
        }
        int silent = 0;
        for (Machine m : dispatcher.machines()) {
            if (now - m.heardMicros > silenceMicros(m)) {
                silent++;
            }
        }
        // Many silent at once: perhaps we are the ones cut off. Peers that don't hear them either tell us that we are not.
        int elsewhere = peers.mostTurnedAway();
        boolean trustSilence = silent <= Math.max(2, dispatcher.machines().size() / 5)
                || silent <= dispatcher.machines().size() / 2 && elsewhere >= 0 && elsewhere < silent / 4;
        for (Machine m : List.copyOf(dispatcher.machines())) {
            if (ids.size() >= RETURN_AT_ONCE) {
                break;
            }
            boolean dead = trustSilence && now - m.heardMicros > silenceMicros(m);
            boolean idle = m.phase == Machine.Phase.READY && m.placements.isEmpty()
                    && now - m.idleSinceMicros > idleMicros(m) && now - m.rentedMicros > LEAST_CHARGE_MICROS;
            m.kept = idle && !m.spot && headroomSpare < m.cpuFree();
            if (m.kept) {
                idle = false;
            } else if (idle && !m.spot) {
                headroomSpare -= m.cpuFree();
            }
            // Its reports come, but our answers and orders don't get there.
            boolean deaf = m.phase == Machine.Phase.UNCONFIRMED && !m.inherited && m.rostered
                    && now - m.unconfirmedMicros > config.leaseMicros() && trustSilence;
            boolean drained = m.phase == Machine.Phase.DRAINING && m.placements.isEmpty();
            if (m.phase == Machine.Phase.RETURNING || dead || deaf || idle || drained) {
                if (m.phase != Machine.Phase.RETURNING) {
                    m.transition(Machine.Phase.RETURNING, dead ? "silent" : deaf ? "does not hear us" : idle ? "idle" : "drained");
                }
                ids.add(m.id);
            }
        }
        if (ids.isEmpty() || returning || !mayCall(now)) {
            return;
        }
        returning = true;
        cloud.giveBack(ids, done -> {
            returning = false;
            if (dispatcher.ended() || !done) {
                return;
            }
            for (String id : ids) {
                returned.put(id, timers.nowMicros());
                booting.remove(id);
                dispatcher.returned(id);
            }
        });
    }

    /**
     * How long a machine may stand idle: as long as a new one would take to boot, so that keeping it never costs much
     * more than letting it go; longer on spot machines, which cost little and may not be had again.
     */
    private long idleMicros(Machine m) {
        double share = m.spot ? config.tuning().idleShareSpot() : config.tuning().idleShare();
        return m.type == null ? 30_000_000 : (long) (share * m.type.bootMicros());
    }

    /**
     * How long a machine may be silent before it is given up. One that answers direct calls lives: after a takeover its
     * reports may still be on their way to the former owner.
     */
    private long silenceMicros(Machine m) {
        return m.probeFailed ? 2 * config.reportMicros() + 1_000_000 : config.leaseMicros();
    }
}
