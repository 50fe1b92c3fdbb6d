package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.model.Machine;

/**
 * Where the tasks of a whole gang can start now.
 *
 * @param machines one for each task, in the order of the tasks; a machine may be there several times
 * @param imageFetches how many of the tasks must fetch their image first
 */
record GangPlacement(List<Machine> machines, int imageFetches) {}
