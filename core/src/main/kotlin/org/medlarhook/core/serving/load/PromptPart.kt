package org.medlarhook.core.serving.load

/** A part of a prompt that other requests may share, in the order in which the parts stand. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
)
