/**
 * Recovery after a change of leader: what records and heartbeats together prove of each task, which machines are
 * still awaited, and in which order work resumes. Pure decisions: no I/O, no threads, no clock of its own.
 */
package org.granitepath.recovery;
