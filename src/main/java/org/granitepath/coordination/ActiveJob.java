package org.granitepath.coordination;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.IntAVLTreeSet;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.granitepath.bookkeeping.JobRecord;
import org.granitepath.bookkeeping.JobSpec;
import org.granitepath.bookkeeping.ProgressRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An unfinished job as its leader sees it: which tasks are done, placed, free to start, or unconfirmed. */
final class ActiveJob {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveJob.class);

    /** {@code ENDING}: all tasks done, to be recorded. {@code OVER}: its final state is on record. */
    enum Phase {
        OPEN,
        ENDING,
        OVER
    }

    final JobSpec spec;
    final long acceptedMicros;
    /** When this leader learnt of it, on the steady clock. */
    final long sinceMicros;

    final RangeSet<Integer> done;
    final Int2ObjectMap<Placement> placements = new Int2ObjectLinkedOpenHashMap<>();
    final Object2IntOpenHashMap<String> zoneCounts = new Object2IntOpenHashMap<>();
    /** Claimed, not done, not placed, and proved to be on no machine. */
    final IntAVLTreeSet free = new IntAVLTreeSet();
    /** Claimed by a predecessor; may be running on a machine not yet heard. */
    final IntOpenHashSet unconfirmed = new IntOpenHashSet();

    Phase phase = Phase.OPEN;
    int doneCount;
    /** Tasks below this are ours by record. */
    int claimed;

    int claimWanted;
    /** Tasks at or above this were never handed out. */
    int fresh;

    /** Run time of those of its tasks that finished in this term, and their number. */
    double ranMicros;

    int ranCount;
    long notBeforeMicros;
    /** The attempt of a gang that is on machines; null: none, or another shape. */
    GangAttempt gangAttempt;
    /** Since when machines are reserved for this gang; negative when none is. */
    long reservedSinceMicros = -1;
    /** Until then no machine is reserved for this gang again. */
    long noReservationUntilMicros = -1;
    /** When it last had a task on a machine, as far as this term knows; negative: never. */
    long lastRunningMicros = -1;

    BatchPlanner.SchedulingClass schedulingClass = BatchPlanner.SchedulingClass.ANY;
    /** Whether it can wait for cheap room. */
    boolean deferrable;
    /** When a task of it was last placed; negative: not in this term. */
    long lastStartMicros = -1;
    /** Since when tasks wait without room; negative when none does. */
    long waitingSinceMicros = -1;

    ActiveJob(JobRecord record, ProgressRecord progress, long nowMicros) {
        this.spec = record.spec();
        this.acceptedMicros = record.acceptedMicros();
        this.sinceMicros = nowMicros;
        this.done = TreeRangeSet.create(progress.done());
        this.doneCount = ProgressRecord.count(done);
        this.claimed = Math.max(record.claimed(), progress.claimed());
        this.claimWanted = claimed;
        this.fresh = claimed;
        for (int i = 0; i < claimed; i++) {
            if (!done.contains(i)) {
                unconfirmed.add(i);
            }
        }
    }

    void transition(Phase next, String why) {
        if (phase != next) {
            LOG.info("job {}: {} -> {} ({})", spec.id(), phase, next, why);
            phase = next;
        }
    }

    /** Running in the paper's sense: handed out and not known to be over. */
    int running() {
        return placements.size() + unconfirmed.size();
    }

    int left() {
        return spec.tasks() - doneCount;
    }

    /** Tasks that could start now if there were room, claimed or not. */
    int waiting() {
        return phase == Phase.OPEN ? left() - running() : 0;
    }

    boolean hasClaimedTask() {
        return !free.isEmpty() || fresh < claimed;
    }

    /** Takes the next task number to start. */
    int takeTask() {
        if (!free.isEmpty()) {
            int task = free.firstInt();
            free.remove(task);
            return task;
        }
        return fresh++;
    }

    void place(Placement placement) {
        placements.put(placement.task.index(), placement);
        zoneCounts.addTo(placement.machine.zone, 1);
        unconfirmed.remove(placement.task.index());
        free.remove(placement.task.index());
    }

    /** The placement is proved gone; {@code elsewhere}: but the task may be on another machine. */
    void unplace(Placement placement, boolean elsewhere) {
        if (placements.remove(placement.task.index(), placement)) {
            zoneCounts.addTo(placement.machine.zone, -1);
            if (!done.contains(placement.task.index()) && phase != Phase.OVER) {
                if (elsewhere) {
                    unconfirmed.add(placement.task.index());
                } else {
                    free.add(placement.task.index());
                }
            }
        }
    }

    void markDone(int task) {
        if (!done.contains(task)) {
            ProgressRecord.addTask(done, task);
            doneCount++;
        }
        free.remove(task);
        unconfirmed.remove(task);
    }

    /** A task of a gang has completed: all have. */
    void markAllDone() {
        ProgressRecord.addTasks(done, spec.tasks());
        doneCount = spec.tasks();
        free.clear();
        unconfirmed.clear();
    }

    /** Every machine that could have held a task of ours was heard or is proved gone. */
    void resolveUnconfirmed() {
        free.addAll(unconfirmed);
        unconfirmed.clear();
    }

    /** Whether one more task may stand in this zone; tasks unconfirmed may stand anywhere. */
    boolean zoneAllows(String zone) {
        if (spec.oneZone()) {
            if (!unconfirmed.isEmpty()) {
                return false;
            }
            for (var entry : zoneCounts.object2IntEntrySet()) {
                if (entry.getIntValue() > 0 && !entry.getKey().equals(zone)) {
                    return false;
                }
            }
        }
        return !spec.spread() || zoneCounts.getInt(zone) + unconfirmed.size() + 1 <= spec.zoneCap();
    }
}
