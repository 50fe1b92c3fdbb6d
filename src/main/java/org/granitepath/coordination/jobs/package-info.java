/**
 * The life cycle of jobs and tasks during one leadership term: jobs are opened, claimed and recorded as done; tasks are
 * started, stopped and proven to be gone. Also decides what a recovery holds back and whether a failure is blamed on
 * the job or on the machine. Only this package places and frees tasks.
 */
package org.granitepath.coordination.jobs;
