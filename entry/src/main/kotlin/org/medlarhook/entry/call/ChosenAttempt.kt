package org.medlarhook.entry.call

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.entry.upstream.UpstreamLink

/** An attempt and the link over which it is sent. */
internal data class ChosenAttempt(
    val link: UpstreamLink,
    val attempt: AttemptRef,
)
