package org.medlarhook.core.intent

import kotlinx.serialization.Serializable

/** How far an intent has come. */
@Serializable
public enum class IntentStatus {
    /** Written, and perhaps accepted by the platform. */
    OPEN,

    /** Accepted by the platform. */
    DONE,
}
