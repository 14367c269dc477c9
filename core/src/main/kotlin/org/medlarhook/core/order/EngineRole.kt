package org.medlarhook.core.order

import kotlinx.serialization.Serializable

/** The kind of work that an engine takes. */
@Serializable
public enum class EngineRole {
    MIXED,
    PREFILL,
    DECODE,
}
