package org.medlarhook.core.order

/**
 * A fencing token: it grows with each order and with each start of a sidecar, so that an engine can refuse calls that
 * are older than the last one. Retries of an order carry the same number.
 */
@JvmInline
public value class FencingNumber(
    public val value: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    public companion object {
        private const val GENERATION_BITS = 32

        /** Puts [incarnation] in the high bits, so that a restarted sidecar has higher numbers than before. */
        public fun of(incarnation: Long, generation: Long): FencingNumber {
            require(incarnation in 0..Int.MAX_VALUE) { "incarnation must have at most 31 bits, but is $incarnation" }
            require(generation in 0 until (1L shl GENERATION_BITS)) {
                "generation must have at most $GENERATION_BITS bits, but is $generation"
            }
            return FencingNumber((incarnation shl GENERATION_BITS) or generation)
        }
    }
}
