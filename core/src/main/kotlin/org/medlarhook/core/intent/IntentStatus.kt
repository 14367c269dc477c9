package org.medlarhook.core.intent

import kotlinx.serialization.Serializable

/** The status of an intent. */
@Serializable
public enum class IntentStatus {
    /** The intent is written; the platform may have accepted its order. */
    OPEN,

    /** The platform has accepted the order. */
    DONE,
}
