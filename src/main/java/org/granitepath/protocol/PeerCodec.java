package org.granitepath.protocol;

import java.io.IOException;
import org.granitepath.coordination.ports.PeerPort.CancellationNotice;
import org.granitepath.coordination.ports.PeerPort.PeerStatus;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Messages between controllers, in MessagePack: an array that begins with the version of its layout. */
public final class PeerCodec {
    private static final int VERSION = 2;
    private static final int FIELDS = 5;
    private static final int CANCELLED_FIELDS = 3;

    private PeerCodec() {}

    /** A status message. */
    public static byte[] encode(PeerStatus g) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS)
                    .packInt(VERSION)
                    .packString(g.node())
                    .packLong(g.contactAgeMicros())
                    .packBoolean(g.leader())
                    .packInt(g.redirectedMachines());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("packing in memory failed", e);
        }
    }

    /** A notice of a cancellation. */
    public static byte[] encode(CancellationNotice notice) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(CANCELLED_FIELDS)
                    .packInt(VERSION)
                    .packString(notice.job())
                    .packLong(notice.revision());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("packing in memory failed", e);
        }
    }

    /** Null when it is no word of a cancellation that we understand. */
    public static CancellationNotice decodeCancelled(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < CANCELLED_FIELDS || unpacker.unpackInt() != VERSION) {
                return null;
            }
            CancellationNotice notice = new CancellationNotice(unpacker.unpackString(), unpacker.unpackLong());
            return SubmissionCodec.isJobId(notice.job()) && notice.revision() > 0 ? notice : null;
        } catch (IOException | MessagePackException e) {
            return null;
        }
    }

    /** Null when it is no status message that we understand. */
    public static PeerStatus decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() < FIELDS || unpacker.unpackInt() != VERSION) {
                return null;
            }
            return new PeerStatus(
                    unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackBoolean(), unpacker.unpackInt());
        } catch (IOException | MessagePackException e) {
            return null;
        }
    }
}
