package org.granitepath.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes job records as JSON objects. The stored field {@code at} is the time of acceptance. */
final class JobRecordCodec {
    private static final String SPEC = "spec";
    private static final String AT = "at";
    private static final String CLAIMED = "claimed";
    private static final String TERM = "term";

    private JobRecordCodec() {}

    static Map<String, Object> encode(JobRecord job) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(SPEC, JobSpecCodec.encode(job.spec()));
        fields.put(AT, job.acceptedMicros());
        fields.put(CLAIMED, job.claimedTasks());
        fields.put(TERM, job.fencingToken());
        return fields;
    }

    /** @throws MalformedFieldException if a required field is missing or of another type */
    static JobRecord decode(Map<String, Object> fields) {
        return new JobRecord(
                JobSpecCodec.decode(Fields.requiredMap(fields, SPEC)),
                Fields.longOf(fields, AT, 0),
                Fields.requiredInt(fields, CLAIMED),
                Fields.longOf(fields, TERM, 0));
    }
}
