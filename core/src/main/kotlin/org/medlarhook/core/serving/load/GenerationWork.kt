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
    /** The part that only the request's session uses, if it names parts. */
    val sessionPart: PromptPart? get() = parts.lastOrNull()
}
