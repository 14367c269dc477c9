package org.medlarhook.core.serving.load

/** A part of a prompt; requests whose prompts begin with the same parts share a prefix. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
)
