/**
 * Decisions: leadership, scheduling, autoscaling and the life cycles of jobs, tasks and machines. Code here
 * does no I/O and starts no threads; it is told events and answers through ports.
 */
package org.granitepath.coordination;
