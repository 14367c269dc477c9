package org.medlarhook.core.key

/** Why a key is not accepted. Callers are told the same for all of them. */
public enum class KeyRefusal {
    MALFORMED,
    UNKNOWN,
    WRONG_SECRET,
    WITHDRAWN,
}
