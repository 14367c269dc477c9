package org.medlarhook.core.call

import kotlinx.serialization.Serializable

/** One header of an HTTP message. */
@Serializable
public data class CallHeader(
    val name: String,
    val value: String,
)
