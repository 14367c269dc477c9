package org.medlarhook.core.serving.answer

/** Recognises the statuses of HTTP. An answer with any other one comes from a faulty server and can't be trusted. */
public object AnswerStatus {
    private const val DIGITS = 3
    private val VALID = 100..599

    /** True if [status] has a meaning in HTTP. */
    public fun isValid(status: Int): Boolean = status in VALID

    /** True if [text], as written in a status line, is a status of exactly three digits. */
    public fun isValid(text: String): Boolean =
        text.length == DIGITS && text.all { it in '0'..'9' } && isValid(text.toInt())
}
