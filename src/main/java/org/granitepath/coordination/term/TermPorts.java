package org.granitepath.coordination.term;

import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.storage.KeyValueStore;

/** Those outside the controller with whom a leader deals: the store, the cloud, the workers, the other controllers. */
public record TermPorts(KeyValueStore store, CloudPort cloud, WorkerPort workers, Peers peers) {}
