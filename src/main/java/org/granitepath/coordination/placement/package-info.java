/**
 * Decides which machines a job can use, which of them are best, and which jobs can wait for cheaper ones. The only
 * state that it changes is the scheduling state of jobs.
 */
package org.granitepath.coordination.placement;
