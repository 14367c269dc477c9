package org.medlarhook.core.serving.load

/**
 * The size of a generation.
 *
 * @property promptTokens tokens of the prompt, including those that an engine may have cached.
 * @property outputTokens tokens that are expected to be decoded: the caller's estimate if it gives one, else
 * [maxOutputTokens].
 * @property maxOutputTokens the most output tokens that the caller asks for.
 * @property parts the parts of the prompt, in order.
 */
public data class GenerationWork(
    val promptTokens: Int,
    val outputTokens: Int,
    val maxOutputTokens: Int,
    val parts: List<PromptPart>,
) {
    /**
     * The last part of the longest prefix that other requests may share; it identifies that prefix. The prompt's last
     * part belongs to this request alone, so the part before it identifies the requests that should share an engine.
     */
    val sharedPart: PromptPart? get() = if (parts.size < 2) parts.lastOrNull() else parts[parts.size - 2]
}
