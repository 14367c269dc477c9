package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Upstream

/**
 * Picks the engines that write the long outputs, alike at all processes: the first by id of each data centre.
 *
 * Answers the load pattern of long streams beside long prompts: reading a prompt stops the streams of its engine for
 * a while, and a full batch writes nearly as fast as an empty one, so that streams belong together.
 */
internal object StreamingEngines {
    fun of(writers: List<Upstream>): Set<String> =
        writers.groupBy { it.dataCentre }.values.map { ofDataCentre -> ofDataCentre.minOf { it.id } }.toSet()
}
