package org.granitepath.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reads and writes JSON objects as maps. An object with a duplicate field is invalid. */
public final class Json {
    private static final JSON JSON_MAPPER = JSON.builder(JsonFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .build())
            .build();

    private Json() {}

    /** Parses a JSON object; returns null if {@code text} is not exactly one JSON object. */
    public static @Nullable Map<String, Object> decodeObject(String text) {
        try (JsonParser parser = JSON_MAPPER.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
            Map<String, Object> map = JSON_MAPPER.mapFrom(parser);
            return parser.nextToken() == null ? map : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /**
     * Returns a value as JSON text.
     *
     * @throws IllegalStateException if the value cannot be written as JSON
     */
    public static String encode(Object value) {
        try {
            return JSON_MAPPER.asString(value);
        } catch (IOException e) {
            throw new IllegalStateException("value cannot be written as JSON", e);
        }
    }
}
