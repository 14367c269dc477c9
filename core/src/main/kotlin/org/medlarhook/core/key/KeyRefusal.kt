package org.medlarhook.core.key

/** Why a key is refused. Callers get the same answer for all reasons. */
public enum class KeyRefusal {
    MALFORMED,
    UNKNOWN,
    WRONG_SECRET,
    WITHDRAWN,
}
