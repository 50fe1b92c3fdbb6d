/**
 * The life of jobs and tasks during one term of leadership: opened, claimed, started, stopped, proved gone,
 * recorded as done; what a recovery still holds back; which jobs or machines failures are blamed on. Nothing
 * else places or frees tasks.
 */
package org.granitepath.coordination.jobs;
