package org.granitepath.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.SubmissionCodec;
import org.granitepath.protocol.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server of the API, which users, workers and health checks use. */
final class ApiServer {
    private static final Logger LOG = LoggerFactory.getLogger(ApiServer.class);

    private static final String HEARTBEAT_PATH = "/agent/beat";
    private static final String JOBS_PATH = "/submissions";
    private static final String JOB_PREFIX = JOBS_PATH + "/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String HEALTH_PATH = "/up";
    private static final String JSON_TYPE = "application/json";

    private static final String EMPTY_OBJECT = "{}";
    private static final String NOT_HEALTHY = "{\"error\":\"starting, or cut from the state service\"}";
    private static final String NO_SUCH_PATH = "{\"error\":\"no such path\"}";
    private static final String METHOD_NOT_ALLOWED = "{\"error\":\"method not allowed\"}";
    private static final String NOT_A_HEARTBEAT = "{\"error\":\"not a report\"}";
    private static final String UNREADABLE_BODY = "{\"error\":\"unreadable or over 64 KiB\"}";

    private final Controller controller;
    private final Metrics metrics;
    private final EventLoop loop;
    private final ConnectionLimiter connectionLimiter;

    ApiServer(Controller controller, Metrics metrics, EventLoop loop, ConnectionLimiter connectionLimiter) {
        this.controller = controller;
        this.metrics = metrics;
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
    }

    /** Handles a request. Must be called on the event loop. */
    void route(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean isPost = exchange.getRequestMethod().equals(Methods.POST);
        boolean isGet = exchange.getRequestMethod().equals(Methods.GET);
        connectionLimiter.onRequest(exchange, path.equals(HEARTBEAT_PATH));
        if (path.equals(HEARTBEAT_PATH) && isPost) {
            readBody(exchange, text -> handleHeartbeat(exchange, text));
        } else if (path.equals(HEALTH_PATH) && isGet) {
            reportHealth(exchange);
        } else if (path.equals(JOBS_PATH) && isPost) {
            measure(exchange, "submit");
            readBody(exchange, text -> submit(exchange, text));
        } else if (path.startsWith(JOB_PREFIX)) {
            routeJob(exchange, path.substring(JOB_PREFIX.length()), isPost, isGet);
        } else {
            sendJson(exchange, HttpStatus.NOT_FOUND, NO_SUCH_PATH);
        }
    }

    /**
     * Handles a request for one job.
     *
     * @param rest the path after {@link #JOB_PREFIX}: the job id, for a cancellation followed by {@link #CANCEL_SUFFIX}
     */
    private void routeJob(HttpServerExchange exchange, String rest, boolean isPost, boolean isGet) {
        boolean cancel = rest.endsWith(CANCEL_SUFFIX);
        String id = cancel ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
        boolean methodAllowed = cancel ? isPost : isGet;
        if (!methodAllowed) {
            sendJson(exchange, HttpStatus.METHOD_NOT_ALLOWED, METHOD_NOT_ALLOWED);
        } else if (!SubmissionCodec.isJobId(id)) {
            respond(exchange, new JobResponse.NotFound());
        } else if (cancel) {
            measure(exchange, "cancel");
            readBody(exchange, unused -> controller.cancel(id, response -> respond(exchange, response)));
        } else {
            measure(exchange, "poll");
            controller.poll(id, response -> respond(exchange, response));
        }
    }

    private void reportHealth(HttpServerExchange exchange) {
        if (controller.isHealthy()) {
            sendJson(exchange, HttpStatus.OK, EMPTY_OBJECT);
        } else {
            sendJson(exchange, HttpStatus.SERVICE_UNAVAILABLE, NOT_HEALTHY);
        }
    }

    /** Records the latency and the status of the request when the exchange is complete. */
    private void measure(HttpServerExchange exchange, String request) {
        long startMicros = loop.nowMicros();
        exchange.addExchangeCompleteListener((completed, next) -> {
            metrics.recordRequest(request, completed.getStatusCode(), loop.nowMicros() - startMicros);
            next.proceed();
        });
    }

    private void submit(HttpServerExchange exchange, String text) {
        try {
            controller.submit(SubmissionCodec.decode(text), response -> respond(exchange, response));
        } catch (SubmissionCodec.MalformedSubmissionException e) {
            sendJson(exchange, HttpStatus.BAD_REQUEST, SubmissionCodec.encode(e));
        }
    }

    private void handleHeartbeat(HttpServerExchange exchange, String text) {
        Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(text);
        if (heartbeat == null) {
            metrics.recordUnreadableHeartbeat(exchange.getSourceAddress().toString());
            sendJson(exchange, HttpStatus.BAD_REQUEST, NOT_A_HEARTBEAT);
            return;
        }
        HeartbeatResponse response = controller.handleHeartbeat(heartbeat);
        if (!(response instanceof HeartbeatResponse.Accepted)) {
            exchange.setPersistent(false); // The worker sends its next heartbeat to another controller.
        }
        sendJson(exchange, WorkerCodec.httpStatus(response), WorkerCodec.encode(response));
    }

    private static void readBody(HttpServerExchange exchange, Consumer<String> handler) {
        RequestDispatcher.readBody(
                exchange,
                body -> handler.accept(new String(body, StandardCharsets.UTF_8)),
                () -> sendJson(exchange, HttpStatus.BAD_REQUEST, UNREADABLE_BODY));
    }

    private static void respond(HttpServerExchange exchange, JobResponse response) {
        if (response instanceof JobResponse.RetryLater later) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(later.afterSeconds()));
        }
        sendJson(exchange, SubmissionCodec.httpStatus(response), SubmissionCodec.encode(response));
    }

    private static void sendJson(HttpServerExchange exchange, int status, String text) {
        if (exchange.isResponseStarted()) {
            LOG.error(
                    "{} {}: the response with status {} is not sent, the exchange was already answered with status {}",
                    exchange.getRequestMethod(),
                    exchange.getRequestPath(),
                    status,
                    exchange.getStatusCode());
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON_TYPE);
        exchange.getResponseSender().send(text, StandardCharsets.UTF_8);
    }
}
