/**
 * Decides which job gets the next task and on which machine: deadline-aware fair sharing (SDAFS), preemption, and
 * consolidation of service replicas. Tasks are started and stopped through the {@code jobs} package.
 */
package org.granitepath.coordination.scheduling;
