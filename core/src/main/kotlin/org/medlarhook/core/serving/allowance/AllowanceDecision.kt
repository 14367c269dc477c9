package org.medlarhook.core.serving.allowance

/** The decision on one request, with the state after it. */
public sealed interface AllowanceDecision {
    public val state: SharedAllowance

    /** The request may be sent; its units are withdrawn. */
    public data class Within(
        override val state: SharedAllowance,
    ) : AllowanceDecision

    /**
     * The request is over the allowance.
     *
     * @property retryAfterMs when the allowance is expected to have room for it, beside the others that ask.
     */
    public data class Over(
        override val state: SharedAllowance,
        val retryAfterMs: Long,
    ) : AllowanceDecision
}
