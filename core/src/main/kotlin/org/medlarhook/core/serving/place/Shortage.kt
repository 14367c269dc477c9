package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fair.WorkspaceStanding

/**
 * Why a request was not admitted.
 *
 * @property best the best way of serving it, with the predicted time to its first event.
 * @property limitMs the predicted time up to which it would have been admitted.
 * @property standing that of its workspace, or null where admission does not depend on it.
 */
public data class Shortage(
    val best: Placement.Chosen,
    val limitMs: Double,
    val standing: WorkspaceStanding?,
)
