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

/** Reads the body of an HTTP response from a channel, up to {@link #MAX_BODY_BYTES}. */
final class ResponseBodyReader implements ChannelListener<StreamSourceChannel> {
    /** Bounds the memory that one response can take: the heap of a controller is 64 MiB. */
    static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private static final int END_OF_BODY = -1;

    private final ByteBufferPool pool;
    private final Consumer<byte[]> onBody;
    private final Consumer<IOException> onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /**
     * Creates a reader. It closes the channel before it calls one of the callbacks.
     *
     * @param pool the buffers to read into
     * @param onBody takes the complete body
     * @param onFailure takes the error if the body cannot be read or is too long
     */
    ResponseBodyReader(ByteBufferPool pool, Consumer<byte[]> onBody, Consumer<IOException> onFailure) {
        this.pool = pool;
        this.onBody = onBody;
        this.onFailure = onFailure;
    }

    /** Reads the available part of the body and continues whenever more arrives. */
    void start(StreamSourceChannel channel) {
        channel.getReadSetter().set(this);
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = pool.allocate()) {
            if (readAvailable(channel, pooled.getBuffer()) == END_OF_BODY) {
                IoUtils.safeClose(channel);
                onBody.accept(body.toByteArray());
            } else {
                channel.resumeReads();
            }
        } catch (IOException e) {
            IoUtils.safeClose(channel);
            onFailure.accept(e);
        }
    }

    /** Reads until the channel has no more data. Returns 0 if more may arrive, {@link #END_OF_BODY} at the end. */
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
