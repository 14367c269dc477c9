package org.medlarhook.harness

/** A granted API key: its public id, and the key itself, which is secret. */
public data class GrantedKey(
    val keyId: String,
    val key: String,
)
