package org.medlarhook.core.serving.load

/**
 * The size of a generation.
 *
 * @property promptTokens tokens to read.
 * @property outputTokens tokens to write: the caller's estimate where there is one, else the most it asks for.
 * @property maxOutputTokens the most that it asks for.
 */
public data class GenerationWork(
    val promptTokens: Int,
    val outputTokens: Int,
    val maxOutputTokens: Int,
    val parts: List<PromptPart>,
) {
    /**
     * The longest beginning that other requests share, as the id of its last part. The last part of all belongs to
     * the request itself, so that the one before it names what is worth keeping together.
     */
    val sharedPart: PromptPart? get() = if (parts.size < 2) parts.lastOrNull() else parts[parts.size - 2]
}
