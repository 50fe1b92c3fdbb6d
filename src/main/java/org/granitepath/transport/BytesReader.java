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
final class BytesReader implements ChannelListener<StreamSourceChannel> {
    private static final int MOST_BYTES = 16 << 20;

    private final ByteBufferPool pool;
    private final Consumer<byte[]> done;
    private final Consumer<IOException> failed;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    BytesReader(ByteBufferPool pool, Consumer<byte[]> done, Consumer<IOException> failed) {
        this.pool = pool;
        this.done = done;
        this.failed = failed;
    }

    void setup(StreamSourceChannel channel) {
        channel.getReadSetter().set(this);
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = pool.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int bytesRead = channel.read(buffer);
                if (bytesRead == 0) {
                    channel.resumeReads();
                    return;
                }
                if (bytesRead < 0) {
                    IoUtils.safeClose(channel);
                    done.accept(body.toByteArray());
                    return;
                }
                buffer.flip();
                while (buffer.hasRemaining()) {
                    body.write(buffer.get());
                }
                if (body.size() > MOST_BYTES) {
                    throw new IOException("response too long");
                }
            }
        } catch (IOException e) {
            IoUtils.safeClose(channel);
            failed.accept(e);
        }
    }
}
