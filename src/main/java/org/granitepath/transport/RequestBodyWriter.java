package org.granitepath.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of an HTTP request to a channel and ends the request. On a failure, it closes the channel and reports
 * nothing: the call then fails because its connection is closed or because its timeout expires.
 */
final class RequestBodyWriter implements ChannelListener<StreamSinkChannel> {
    private final ByteBuffer unwritten;

    /** Creates a writer for the body. The array is not copied, so the caller must not change it. */
    RequestBodyWriter(byte[] body) {
        this.unwritten = ByteBuffer.wrap(body);
    }

    /** Writes as much as the channel accepts and continues whenever it accepts more. */
    void start(StreamSinkChannel channel) {
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSinkChannel channel) {
        try {
            if (writeAll(channel)) {
                finish(channel);
            } else {
                channel.getWriteSetter().set(this);
                channel.resumeWrites();
            }
        } catch (IOException e) {
            IoUtils.safeClose(channel);
        }
    }

    /** Writes until the body is complete or the channel accepts no more. Returns whether the body is complete. */
    private boolean writeAll(StreamSinkChannel channel) throws IOException {
        while (unwritten.hasRemaining()) {
            if (channel.write(unwritten) == 0) {
                return false;
            }
        }
        return true;
    }

    private static void finish(StreamSinkChannel channel) throws IOException {
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, null));
            channel.resumeWrites();
        }
    }
}
