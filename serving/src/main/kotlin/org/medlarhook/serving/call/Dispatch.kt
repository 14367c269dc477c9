package org.medlarhook.serving.call

import org.medlarhook.core.serving.place.Placement
import org.medlarhook.serving.upstream.RequestPermits

/**
 * A placement that is carried out.
 *
 * @property atMs when the request was placed.
 * @property permits the turns that were claimed for it.
 */
internal class Dispatch(
    val chosen: Placement.Chosen,
    val atMs: Long,
    val permits: RequestPermits,
)
