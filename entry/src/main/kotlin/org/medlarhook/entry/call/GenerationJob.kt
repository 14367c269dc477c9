package org.medlarhook.entry.call

import org.medlarhook.core.directory.Workspace

/** What is to be generated. */
internal data class GenerationJob(
    val model: String,
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val workspace: Workspace,
)
