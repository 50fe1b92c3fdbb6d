package org.granitepath.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.protocol.HttpStatus;
import org.granitepath.protocol.SubmissionCodec;
import org.granitepath.protocol.WorkerCodec;
import org.xnio.Options;

/** What users, workers and health checks talk to. */
public final class ServiceServer {
    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    /** A machine that is gone closes nothing: what is silent for longer than any lease or poll is closed from here. */
    private static final int IDLE_TIMEOUT_MILLIS = 40_000;

    private static final String HEARTBEAT_PATH = "/agent/beat";
    private static final String JOBS = "/submissions";
    private static final String JOB_PREFIX = JOBS + "/";
    private static final String CANCEL = "/cancel";
    private static final String HEALTH = "/up";

    private static final String EMPTY_OBJECT = "{}";
    private static final String NOT_HEALTHY = "{\"error\":\"starting, or cut from the state service\"}";
    private static final String NO_SUCH_PATH = "{\"error\":\"no such path\"}";
    private static final String METHOD_NOT_ALLOWED = "{\"error\":\"method not allowed\"}";
    private static final String NOT_A_HEARTBEAT = "{\"error\":\"not a report\"}";
    private static final String UNREADABLE_BODY = "{\"error\":\"unreadable or over 64 KiB\"}";

    private final Controller controller;
    private final Metrics metrics;
    private final EventLoop loop;
    private final Connections connections;

    private ServiceServer(Controller controller, Metrics metrics, EventLoop loop, Connections connections) {
        this.controller = controller;
        this.metrics = metrics;
        this.loop = loop;
        this.connections = connections;
    }

    /** Begins to listen; requests are handled on the event loop. */
    public static void listen(
            Controller controller,
            Config config,
            EventLoop loop,
            String host,
            int port,
            String peerHost,
            int peerPort) {
        Connections connections = new Connections(
                config.limits().machineConnections(), config.limits().heldConnections());
        Metrics metrics = new Metrics(connections, controller::recoveryStatus);
        ServiceServer service = new ServiceServer(controller, metrics, loop, connections);
        new PeerServer(controller, metrics)
                .listen(loop, peerHost, peerPort, config.limits().backlog());
        builder(loop, host, port, config.limits().backlog())
                .setHandler(exchange -> exchange.dispatch(
                        SameThreadExecutor.INSTANCE, EventLoop.guarded(() -> service.route(exchange))))
                .build()
                .start();
    }

    static Undertow.Builder builder(EventLoop loop, String host, int port, int backlog) {
        return Undertow.builder()
                .setWorker(loop.worker())
                .setByteBufferPool(loop.buffers())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MOST_BODY_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setSocketOption(Options.BACKLOG, backlog)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                .addHttpListener(port, host);
    }

    private void route(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean post = exchange.getRequestMethod().equals(Methods.POST);
        boolean get = exchange.getRequestMethod().equals(Methods.GET);
        connections.requested(exchange, path.equals(HEARTBEAT_PATH));
        if (path.equals(HEARTBEAT_PATH) && post) {
            readBody(exchange, text -> heartbeat(exchange, text));
        } else if (path.equals(HEALTH) && get) {
            boolean up = controller.healthy();
            reply(exchange, up ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, up ? EMPTY_OBJECT : NOT_HEALTHY);
        } else if (path.equals(JOBS) && post) {
            measure(exchange, "submit");
            readBody(exchange, text -> submit(exchange, text));
        } else if (path.startsWith(JOB_PREFIX)) {
            routeJob(exchange, path.substring(JOB_PREFIX.length()), post, get);
        } else {
            reply(exchange, HttpStatus.NOT_FOUND, NO_SUCH_PATH);
        }
    }

    /** @param rest the path after the prefix of jobs: the id, and perhaps what is to be done with the job */
    private void routeJob(HttpServerExchange exchange, String rest, boolean post, boolean get) {
        boolean cancel = rest.endsWith(CANCEL);
        String id = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
        boolean methodAllowed = cancel ? post : get;
        if (!methodAllowed) {
            reply(exchange, HttpStatus.METHOD_NOT_ALLOWED, METHOD_NOT_ALLOWED);
        } else if (!SubmissionCodec.isJobId(id)) {
            answer(exchange, new JobResponse.NotFound());
        } else if (cancel) {
            measure(exchange, "cancel");
            readBody(exchange, unused -> controller.cancel(id, response -> answer(exchange, response)));
        } else {
            measure(exchange, "poll");
            controller.poll(id, response -> answer(exchange, response));
        }
    }

    /** Has the latency and the status counted once the exchange is complete. */
    private void measure(HttpServerExchange exchange, String request) {
        long beganMicros = loop.nowMicros();
        exchange.addExchangeCompleteListener((completed, next) -> {
            metrics.served(request, completed.getStatusCode(), loop.nowMicros() - beganMicros);
            next.proceed();
        });
    }

    private void submit(HttpServerExchange exchange, String text) {
        try {
            controller.submit(SubmissionCodec.decode(text), response -> answer(exchange, response));
        } catch (SubmissionCodec.Malformed e) {
            reply(exchange, HttpStatus.BAD_REQUEST, SubmissionCodec.encode(e));
        }
    }

    private void heartbeat(HttpServerExchange exchange, String text) {
        Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(text);
        if (heartbeat == null) {
            metrics.unreadableHeartbeat(exchange.getSourceAddress().toString());
            reply(exchange, HttpStatus.BAD_REQUEST, NOT_A_HEARTBEAT);
            return;
        }
        HeartbeatResponse answer = controller.heartbeat(heartbeat);
        if (!(answer instanceof HeartbeatResponse.Accepted)) {
            exchange.setPersistent(false); // it goes elsewhere
        }
        reply(exchange, WorkerCodec.httpStatus(answer), WorkerCodec.encode(answer));
    }

    private static void readBody(HttpServerExchange exchange, Consumer<String> then) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, bytes) -> EventLoop.guarded(
                                        () -> then.accept(new String(bytes, StandardCharsets.UTF_8)))
                                .run(),
                        (received, cause) -> reply(received, HttpStatus.BAD_REQUEST, UNREADABLE_BODY));
    }

    private static void answer(HttpServerExchange exchange, JobResponse answer) {
        if (answer instanceof JobResponse.RetryLater later) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(later.afterSeconds()));
        }
        reply(exchange, SubmissionCodec.httpStatus(answer), SubmissionCodec.encode(answer));
    }

    private static void reply(HttpServerExchange exchange, int status, String text) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(text, StandardCharsets.UTF_8);
    }
}
