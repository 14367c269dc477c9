package org.medlarhook.core.order

/** A number that grows with each order and each start of a sidecar; repeats of an order carry the same. */
@JvmInline
public value class FencingNumber(
    public val value: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    public companion object {
        private const val GENERATION_BITS = 32

        /** Puts the incarnation above the generation, so that a restarted sidecar outranks its predecessor. */
        public fun of(incarnation: Long, generation: Long): FencingNumber {
            require(incarnation in 0..Int.MAX_VALUE) { "incarnation is out of range" }
            require(generation in 0 until (1L shl GENERATION_BITS)) { "generation is out of range" }
            return FencingNumber((incarnation shl GENERATION_BITS) or generation)
        }
    }
}
