package org.granitepath.coordination.term;

import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.storage.KeyValueStore;

/** The external systems that a leader calls: the store, the cloud, the workers and the other controllers. */
public record TermPorts(KeyValueStore store, CloudPort cloud, WorkerPort workers, Peers peers) {}
