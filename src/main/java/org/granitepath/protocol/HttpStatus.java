package org.granitepath.protocol;

/** The HTTP statuses that the interfaces use, and the one that stands for a call without an answer. */
public final class HttpStatus {
    /** No HTTP status: the call ended without an answer. */
    public static final int NO_RESPONSE = 0;
    /** Carried out. */
    public static final int OK = 200;
    /** Carried out, and something is there that was not before. */
    public static final int CREATED = 201;
    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;
    /** There is no such thing. */
    public static final int NOT_FOUND = 404;
    /** The path is known, but not with this method. */
    public static final int METHOD_NOT_ALLOWED = 405;
    /** The state is not the one that the request expects. */
    public static final int CONFLICT = 409;
    /** What was asked for is no longer kept. */
    public static final int GONE = 410;
    /** Another controller answers for this. */
    public static final int MISDIRECTED_REQUEST = 421;
    /** The request is well formed, but can never be fulfilled. */
    public static final int UNPROCESSABLE_CONTENT = 422;
    /** Not now. */
    public static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
