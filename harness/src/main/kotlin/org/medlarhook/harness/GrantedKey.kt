package org.medlarhook.harness

/** A key that was granted: its public id and its text. */
public data class GrantedKey(
    val keyId: String,
    val key: String,
)
