package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Upstream

/**
 * Selects the engines that decode the long outputs: in each data centre the one with the lowest id, so that all
 * processes select the same engines.
 *
 * Designed for long streams beside long prompts: prefilling a prompt stalls the streams of its engine for a while,
 * whereas a full batch decodes nearly as fast as an empty one. Long outputs therefore share engines.
 */
internal object LongOutputEngines {
    fun of(decodeUpstreams: List<Upstream>): Set<String> =
        decodeUpstreams.groupBy { it.dataCentre }.values.map { upstreams -> upstreams.minOf { it.id } }.toSet()
}
