package org.medlarhook.core.serving.fleet

/**
 * An upstream as its registration shows it.
 *
 * @property bornMs when it started; a new start under the same id is another upstream that knows nothing of before.
 * @property coldRemainingMs how much longer it stays slow after its start.
 */
public data class Upstream(
    val id: String,
    val bornMs: Long,
    val address: Endpoint,
    val service: String,
    val dataCentre: String,
    val slots: Int,
    val isDraining: Boolean,
    val stage: EngineStage?,
    val coldRemainingMs: Long,
) {
    /** Names one start of the upstream. */
    val incarnation: Incarnation get() = Incarnation(id, bornMs)
}

/** One start of one upstream. */
public data class Incarnation(
    val upstreamId: String,
    val bornMs: Long,
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
