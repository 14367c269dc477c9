package org.medlarhook.core.serving.fleet

/**
 * An upstream as its registration shows it.
 *
 * @property startedAtMs when it started. A new start under the same id is another upstream without earlier state.
 * @property coldRemainingMs how much longer it stays slow after its start.
 */
public data class Upstream(
    val id: String,
    val startedAtMs: Long,
    val address: Endpoint,
    val service: String,
    val dataCentre: String,
    val slots: Int,
    val isDraining: Boolean,
    val stage: EngineStage?,
    val coldRemainingMs: Long,
) {
    /** Names one start of the upstream. */
    val incarnation: Incarnation get() = Incarnation(id, startedAtMs)
}

/** One start of one upstream. */
public data class Incarnation(
    val upstreamId: String,
    val startedAtMs: Long,
)

/** An IP address and a port. */
public data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Which phase of a generation an engine serves. */
public enum class EngineStage {
    PREFILL,
    DECODE,
}
