package org.granitepath.protocol;

/** The HTTP status codes that the interfaces use, and a value for a call without a response. */
public final class HttpStatus {
    /** Not an HTTP status: the call ended without a response. */
    public static final int NO_RESPONSE = 0;
    /** The request was processed. */
    public static final int OK = 200;
    /** The request was processed and created something new. */
    public static final int CREATED = 201;
    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;
    /** The requested resource does not exist. */
    public static final int NOT_FOUND = 404;
    /** The path exists, but does not support the request method. */
    public static final int METHOD_NOT_ALLOWED = 405;
    /** The state of the resource is not the one that the request expects. */
    public static final int CONFLICT = 409;
    /** The requested data existed, but is no longer kept. */
    public static final int GONE = 410;
    /** Another controller is responsible for the request. */
    public static final int MISDIRECTED_REQUEST = 421;
    /** The request is well-formed, but can never be fulfilled. */
    public static final int UNPROCESSABLE_CONTENT = 422;
    /** The server failed to process the request. */
    public static final int INTERNAL_SERVER_ERROR = 500;
    /** The request cannot be processed at present; the client may retry it later. */
    public static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
