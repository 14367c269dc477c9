package org.medlarhook.core.call

/** The HTTP answer of a plain service. */
public class CallAnswer(
    public val status: Int,
    public val headers: List<CallHeader>,
    public val body: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is CallAnswer && status == other.status && headers == other.headers && body.contentEquals(other.body)

    override fun hashCode(): Int = status + 31 * (headers.hashCode() + 31 * body.contentHashCode())

    override fun toString(): String = "CallAnswer(status=$status, bodyBytes=${body.size})"
}
