/**
 * Which job gets the next task and where: fair shares with deadlines (SDAFS), preemption, consolidation of services.
 * Starts and stops tasks through {@code jobs}.
 */
package org.granitepath.coordination.scheduling;
