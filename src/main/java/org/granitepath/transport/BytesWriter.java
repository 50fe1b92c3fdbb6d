package org.granitepath.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes a request body and ends it. */
final class BytesWriter implements ChannelListener<StreamSinkChannel> {
    private final ByteBuffer body;

    BytesWriter(byte[] body) {
        this.body = ByteBuffer.wrap(body);
    }

    void setup(StreamSinkChannel channel) {
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSinkChannel channel) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.getWriteSetter().set(this);
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (!channel.flush()) {
                channel.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, null));
                channel.resumeWrites();
            }
        } catch (IOException e) {
            IoUtils.safeClose(channel);
        }
    }
}
