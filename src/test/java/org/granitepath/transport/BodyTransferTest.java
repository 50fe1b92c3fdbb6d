package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelPipe;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Transfers bodies from {@link RequestBodyWriter} to {@link ResponseBodyReader} through a pipe of the event loop. */
class BodyTransferTest {
    /** Bounds the wait for a body that never ends. */
    private static final int TIMEOUT_SECONDS = 60;

    private EventLoop loop;
    private ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private final CompletableFuture<byte[]> read = new CompletableFuture<>();
    private final CompletableFuture<IOException> failed = new CompletableFuture<>();

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop();
        pipe = loop.worker().createHalfDuplexPipe();
    }

    @AfterEach
    void close() {
        loop.worker().shutdownNow();
    }

    private static byte[] body(int bytes) {
        byte[] body = new byte[bytes];
        new Random(bytes).nextBytes(body);
        return body;
    }

    private void write(byte[] body) {
        loop.execute(() -> new RequestBodyWriter(body).start(pipe.getRightSide()));
    }

    private void read() {
        loop.execute(() ->
                new ResponseBodyReader(loop.buffers(), read::complete, failed::complete).start(pipe.getLeftSide()));
    }

    /** The largest body exceeds what a pipe accepts at once; 20 000 bytes exceed one buffer. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20_000, 1_000_000})
    void bodyWrittenBeforeTheReaderStartsIsReadCompletely(int bytes) throws Exception {
        byte[] body = body(bytes);
        write(body);
        read();
        assertArrayEquals(body, read.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertFalse(failed.isDone());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20_000, 1_000_000})
    void bodyWrittenAfterTheReaderStartsIsReadCompletely(int bytes) throws Exception {
        byte[] body = body(bytes);
        read();
        write(body);
        assertArrayEquals(body, read.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertFalse(failed.isDone());
    }

    @Test
    void readerClosesItsChannelAtTheEndOfTheBody() throws Exception {
        write(body(1));
        read();
        read.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertFalse(pipe.getLeftSide().isOpen());
    }

    @Test
    void bodyAboveTheMaximumSizeFails() throws Exception {
        write(new byte[ResponseBodyReader.MAX_BODY_BYTES + 1]);
        read();
        assertEquals(
                "response too long",
                failed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getMessage());
        assertFalse(read.isDone());
    }

    @Test
    void bodyOfTheMaximumSizeIsRead() throws Exception {
        write(new byte[ResponseBodyReader.MAX_BODY_BYTES]);
        read();
        assertEquals(ResponseBodyReader.MAX_BODY_BYTES, read.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).length);
    }
}
