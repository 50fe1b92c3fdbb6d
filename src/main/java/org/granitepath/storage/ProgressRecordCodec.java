package org.granitepath.storage;

import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Progress records as JSON objects; finished tasks are a flat list of the two ends of each range. */
final class ProgressRecordCodec {
    private static final String OWNER = "owner";
    private static final String CLAIMED = "claimed";
    private static final String DONE = "done";
    private static final String RUNNING = "running";

    private ProgressRecordCodec() {}

    static Map<String, Object> encode(ProgressRecord progress) {
        List<Integer> ends = new ArrayList<>();
        for (Range<Integer> range : progress.doneTasks().asRanges()) {
            ends.add(range.lowerEndpoint());
            ends.add(range.upperEndpoint());
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(OWNER, progress.leader());
        fields.put(CLAIMED, progress.claimedTasks());
        fields.put(DONE, ends);
        fields.put(RUNNING, progress.runningTasks());
        return fields;
    }

    /** @throws MalformedFieldException when a field that has to be there is missing or of another type */
    static ProgressRecord decode(Map<String, Object> fields) {
        RangeSet<Integer> done = TreeRangeSet.create();
        List<?> ends = Fields.requiredList(fields, DONE);
        for (int i = 0; i + 1 < ends.size(); i += 2) {
            int lower = Fields.requiredNumber(ends.get(i), DONE).intValue();
            int upper = Fields.requiredNumber(ends.get(i + 1), DONE).intValue();
            done.add(Range.closedOpen(lower, upper));
        }
        return new ProgressRecord(
                Fields.textOf(fields, OWNER),
                Fields.requiredInt(fields, CLAIMED),
                done,
                Fields.intOf(fields, RUNNING, 0));
    }
}
