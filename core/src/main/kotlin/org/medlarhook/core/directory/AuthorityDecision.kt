package org.medlarhook.core.directory

/** Whether an entry may serve keyed routes, which are the routes that need an API key. */
public sealed interface AuthorityDecision {
    /** Keyed routes may be served until [untilMs] on this process's monotonic clock. */
    public data class Serve(
        val basis: AuthorityBasis,
        val untilMs: Long,
    ) : AuthorityDecision

    /**
     * Keyed routes must be refused.
     *
     * @property waitingFor the entries whose state rules out [AuthorityBasis.COMMON_OUTAGE].
     */
    public data class Refuse(
        val retryAfterMs: Long,
        val waitingFor: List<String>,
    ) : AuthorityDecision
}

/** The reason why keyed routes may be served. */
public enum class AuthorityBasis {
    /** The newest known read of the tables is within [ReplicaSettings.stalenessLimitMs]. */
    RECENT_NEWS,

    /** No entry reaches the tables, so no key can be withdrawn. */
    COMMON_OUTAGE,
}
