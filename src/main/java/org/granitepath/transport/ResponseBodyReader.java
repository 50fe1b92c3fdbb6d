package org.granitepath.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/** Reads a response body to its end, up to a bound. */
final class ResponseBodyReader implements ChannelListener<StreamSourceChannel> {
    /** A controller has a heap of 64 MiB: an answer without end must not fill it. */
    static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private static final int END_OF_BODY = -1;

    private final ByteBufferPool pool;
    private final Consumer<byte[]> done;
    private final Consumer<IOException> failed;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Tells the whole body, or why it can't be had; either closes the channel first. */
    ResponseBodyReader(ByteBufferPool pool, Consumer<byte[]> done, Consumer<IOException> failed) {
        this.pool = pool;
        this.done = done;
        this.failed = failed;
    }

    /** Reads what is there, and the rest as it comes. */
    void begin(StreamSourceChannel channel) {
        channel.getReadSetter().set(this);
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = pool.allocate()) {
            if (readAvailable(channel, pooled.getBuffer()) == END_OF_BODY) {
                IoUtils.safeClose(channel);
                done.accept(body.toByteArray());
            } else {
                channel.resumeReads();
            }
        } catch (IOException e) {
            IoUtils.safeClose(channel);
            failed.accept(e);
        }
    }

    /** Reads until nothing is there; returns the channel's last word, 0 or {@link #END_OF_BODY}. */
    private int readAvailable(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
        while (true) {
            buffer.clear();
            int bytesRead = channel.read(buffer);
            if (bytesRead <= 0) {
                return bytesRead;
            }
            buffer.flip();
            append(buffer);
        }
    }

    private void append(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            body.write(buffer.get());
        }
        if (body.size() > MAX_BODY_BYTES) {
            throw new IOException("response too long");
        }
    }
}
