package org.granitepath.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.transport.Address;
import org.jspecify.annotations.Nullable;

/**
 * The validated settings of a controller. Unknown fields of the platform settings file are ignored.
 *
 * @param config the configuration of the decision code
 * @param listenAddress the address to listen on for users and workers
 * @param peerListenAddress the address to listen on for other controllers and operators
 * @param peerAddresses HOST:PORT of the other controllers, by node name
 * @param cloudAddress HOST:PORT of the cloud
 * @param storeAddress HOST:PORT of the key-value store
 */
record Settings(
        Config config,
        Address listenAddress,
        Address peerListenAddress,
        Map<String, String> peerAddresses,
        String cloudAddress,
        String storeAddress) {
    /** The default recovery hold is a worker's lease divided by this, which is slightly more than two heartbeats. */
    private static final int HOLDS_PER_LEASE = 4;

    /**
     * Reads and validates the settings files.
     *
     * @param file the platform settings
     * @param tuningFile the tuning settings of the operators; null if there are none
     * @param liveFirst whether a recovery holds other work until services are placed; the length of the hold is derived
     *     from the worker lease unless the tuning settings set it
     * @throws InvalidSettingException if a setting is invalid
     */
    static Settings read(Path file, @Nullable Path tuningFile, boolean liveFirst) throws InvalidSettingException {
        TomlFields fields = TomlFields.parse(file);
        Map<String, String> peerAddresses = new LinkedHashMap<>();
        Map<String, String> peerZones = new LinkedHashMap<>();
        for (TomlFields peer : fields.tables("others")) {
            peerAddresses.put(peer.text("node_name"), peer.addressText("addr"));
            peerZones.put(peer.text("node_name"), peer.text("site"));
        }
        long defaultHoldMicros = liveFirst ? fields.positiveMicros("facts.workers.lease_s") / HOLDS_PER_LEASE : 0;
        Config config = new ConfigReader(fields).read(peerZones, TuningFile.read(tuningFile, defaultHoldMicros));
        ConfigValidator.validate(config, liveFirst);
        return new Settings(
                config,
                fields.address("serve_on"),
                fields.address("back"),
                peerAddresses,
                fields.addressText("services.cloud"),
                fields.addressText("services.state"));
    }
}
