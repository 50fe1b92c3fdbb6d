package org.granitepath.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a request body and ends it. A failure closes the channel and is told to nobody: the call finds its connection
 * closed, or its deadline ends it.
 */
final class RequestBodyWriter implements ChannelListener<StreamSinkChannel> {
    private final ByteBuffer unwritten;

    /** The array is not copied. */
    RequestBodyWriter(byte[] body) {
        this.unwritten = ByteBuffer.wrap(body);
    }

    /** Writes what the channel takes, and the rest as it takes more. */
    void begin(StreamSinkChannel channel) {
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSinkChannel channel) {
        try {
            if (writeAll(channel)) {
                end(channel);
            } else {
                channel.getWriteSetter().set(this);
                channel.resumeWrites();
            }
        } catch (IOException e) {
            IoUtils.safeClose(channel);
        }
    }

    /** Writes until all is written or the channel takes no more; whether all is. */
    private boolean writeAll(StreamSinkChannel channel) throws IOException {
        while (unwritten.hasRemaining()) {
            if (channel.write(unwritten) == 0) {
                return false;
            }
        }
        return true;
    }

    private static void end(StreamSinkChannel channel) throws IOException {
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, null));
            channel.resumeWrites();
        }
    }
}
