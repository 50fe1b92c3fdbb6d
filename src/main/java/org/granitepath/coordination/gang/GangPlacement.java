package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.model.Machine;

/**
 * The machines on which all tasks of a gang can start now.
 *
 * @param machines one machine for each task, in the order of the tasks; a machine can occur several times
 * @param imageFetches how many of the tasks must fetch their image first
 */
record GangPlacement(List<Machine> machines, int imageFetches) {}
