package org.granitepath.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.config.Config;
import org.granitepath.transport.Address;
import org.jspecify.annotations.Nullable;

/**
 * The platform's settings file, checked. Fields that we don't know are left alone.
 *
 * @param config what the decision code needs
 * @param listenAddress where users and workers call
 * @param peerListenAddress where other controllers and operators call
 * @param peerAddresses where to call the other controllers, by name
 * @param cloudAddress where to call the cloud
 * @param storeAddress where to call the key-value store
 */
record Settings(
        Config config,
        Address listenAddress,
        Address peerListenAddress,
        Map<String, String> peerAddresses,
        String cloudAddress,
        String storeAddress) {
    /** By default the hold of a recovery is this part of a worker's lease: two heartbeats and a little. */
    private static final int HOLDS_PER_LEASE = 4;

    /**
     * Reads and checks the platform's file and, if {@code tuningFile} is not null, the operators' own.
     *
     * @param liveFirst whether a recovery holds other work for services, for a time that follows from the leases
     *     unless the operators' file names one
     * @throws InvalidSettingException when a setting can't be used
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
