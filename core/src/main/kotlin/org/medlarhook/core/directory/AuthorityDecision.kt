package org.medlarhook.core.directory

/** Whether keyed routes may be served. */
public sealed interface AuthorityDecision {
    /** They may, until [untilMs] on this process's monotonic clock unless decided again. */
    public data class Serve(
        val basis: AuthorityBasis,
        val untilMs: Long,
    ) : AuthorityDecision

    /** They may not. [waitingFor] names the entries that stand against the rule for a common outage. */
    public data class Refuse(
        val retryAfterMs: Long,
        val waitingFor: List<String>,
    ) : AuthorityDecision
}

/** Why keyed routes are served. */
public enum class AuthorityBasis {
    /** The news is young enough. */
    RECENT_NEWS,

    /** No entry reaches the tables, so nobody can withdraw a key. */
    COMMON_OUTAGE,
}
