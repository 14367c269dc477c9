package org.medlarhook.entry.call

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.entry.upstream.UpstreamLink

/** An attempt with the link that it goes over. */
internal data class ChosenAttempt(
    val link: UpstreamLink,
    val attempt: AttemptRef,
)
