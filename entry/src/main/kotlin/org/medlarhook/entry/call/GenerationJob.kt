package org.medlarhook.entry.call

import org.medlarhook.core.directory.Workspace

/** A generation as the caller requested it. */
internal data class GenerationJob(
    val model: String,
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val workspace: Workspace,
)
