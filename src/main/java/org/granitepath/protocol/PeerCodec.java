package org.granitepath.protocol;

import java.io.IOException;
import org.granitepath.coordination.ports.PeerPort.CancellationNotice;
import org.granitepath.coordination.ports.PeerPort.PeerStatus;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the messages between controllers. Each message is a MessagePack array that starts with the
 * version of its layout.
 *
 * <p>The fields have no names on the wire, only an order. The protocol calls a status message a greeting.
 */
public final class PeerCodec {
    private static final int VERSION = 2;
    private static final int STATUS_FIELDS = 5;
    private static final int CANCELLATION_FIELDS = 3;

    private PeerCodec() {}

    /** Returns a status message. */
    public static byte[] encode(PeerStatus status) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(STATUS_FIELDS)
                    .packInt(VERSION)
                    .packString(status.node())
                    .packLong(status.storeContactAgeMicros())
                    .packBoolean(status.isLeader())
                    .packInt(status.redirectedMachines());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("MessagePack encoding in memory failed", e);
        }
    }

    /** Returns a cancellation notice. */
    public static byte[] encode(CancellationNotice notice) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(CANCELLATION_FIELDS)
                    .packInt(VERSION)
                    .packString(notice.job())
                    .packLong(notice.revision());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("MessagePack encoding in memory failed", e);
        }
    }

    /** Decodes a cancellation notice; returns null if the message is malformed or has another version. */
    public static @Nullable CancellationNotice decodeCancellation(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < CANCELLATION_FIELDS || unpacker.unpackInt() != VERSION) {
                return null;
            }
            CancellationNotice notice = new CancellationNotice(unpacker.unpackString(), unpacker.unpackLong());
            return SubmissionCodec.isJobId(notice.job()) && notice.revision() > 0 ? notice : null;
        } catch (IOException | MessagePackException e) {
            return null;
        }
    }

    /** Decodes a status message; returns null if the message is malformed or has another version. */
    public static @Nullable PeerStatus decodeStatus(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < STATUS_FIELDS || unpacker.unpackInt() != VERSION) {
                return null;
            }
            return new PeerStatus(
                    unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackBoolean(), unpacker.unpackInt());
        } catch (IOException | MessagePackException e) {
            return null;
        }
    }
}
