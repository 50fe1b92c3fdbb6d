package org.granitepath.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import org.granitepath.coordination.Controller;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.protocol.Json;
import org.granitepath.protocol.SubmissionCodec;
import org.granitepath.protocol.WorkerCodec;
import org.xnio.Options;

/** What users, workers and health checks talk to. */
public final class ServiceServer {
    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    /** A machine that is gone closes nothing: what is silent for longer than any lease or poll is closed from here. */
    private static final int IDLE_TIMEOUT_MILLIS = 40_000;

    private static final String HEARTBEATS = "/agent/beat";
    private static final String JOBS = "/submissions";
    private static final String CANCEL = "/cancel";

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
            String backHost,
            int backPort) {
        Metrics metrics = new Metrics();
        Connections connections = new Connections(
                config.limits().machineConnections(), config.limits().heldConnections());
        metrics.watch(connections);
        metrics.watch(controller::recoveryStatus);
        ServiceServer service = new ServiceServer(controller, metrics, loop, connections);
        new BackServer(controller, metrics)
                .listen(loop, backHost, backPort, config.limits().backlog());
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
        connections.requested(exchange, path.equals(HEARTBEATS));
        if (path.equals(HEARTBEATS) && post) {
            body(exchange, text -> heartbeat(exchange, text));
        } else if (path.equals("/up") && get) {
            boolean up = controller.healthy();
            reply(exchange, up ? 200 : 503, up ? "{}" : "{\"error\":\"starting, or cut from the state service\"}");
        } else if (path.equals(JOBS) && post) {
            timed(exchange, "submit");
            body(exchange, text -> submit(exchange, text));
        } else if (path.startsWith(JOBS + "/")) {
            String rest = path.substring(JOBS.length() + 1);
            boolean cancel = rest.endsWith(CANCEL);
            String id = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
            if (!(cancel ? post : get)) {
                reply(exchange, 405, "{\"error\":\"method not allowed\"}");
            } else if (!SubmissionCodec.isJobId(id)) {
                answer(exchange, new JobResponse.NotFound());
            } else if (cancel) {
                timed(exchange, "cancel");
                body(exchange, text -> controller.cancel(id, a -> answer(exchange, a)));
            } else {
                timed(exchange, "poll");
                controller.poll(id, a -> answer(exchange, a));
            }
        } else {
            reply(exchange, 404, "{\"error\":\"no such path\"}");
        }
    }

    private void timed(HttpServerExchange exchange, String what) {
        long began = loop.nowMicros();
        exchange.addExchangeCompleteListener((ex, next) -> {
            metrics.served(what, ex.getStatusCode(), loop.nowMicros() - began);
            next.proceed();
        });
    }

    private void submit(HttpServerExchange exchange, String text) {
        try {
            controller.submit(SubmissionCodec.decode(text), a -> answer(exchange, a));
        } catch (SubmissionCodec.Malformed e) {
            reply(exchange, 400, Json.text(java.util.Map.of("error", e.getMessage())));
        }
    }

    private void heartbeat(HttpServerExchange exchange, String text) {
        Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(text);
        if (heartbeat == null) {
            metrics.unreadableHeartbeat(exchange.getSourceAddress().toString());
            reply(exchange, 400, "{\"error\":\"not a report\"}");
            return;
        }
        HeartbeatResponse answer = controller.heartbeat(heartbeat);
        if (!(answer instanceof HeartbeatResponse.Accepted)) {
            exchange.setPersistent(false); // it goes elsewhere
        }
        reply(exchange, WorkerCodec.httpStatus(answer), WorkerCodec.encode(answer));
    }

    private interface Taker {
        void take(String text);
    }

    private static void body(HttpServerExchange exchange, Taker then) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ex, bytes) -> EventLoop.guarded(() -> then.take(new String(bytes, StandardCharsets.UTF_8)))
                                .run(),
                        (ex, e) -> reply(ex, 400, "{\"error\":\"unreadable or over 64 KiB\"}"));
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
