package org.medlarhook.core.serving.fleet

/**
 * An upstream as registered.
 *
 * @property startedAtMs when it started. A new start under the same id is another upstream without earlier state.
 * @property stage the phase to which an engine is dedicated; null for an engine that serves both, and for a plain
 * service.
 * @property coldRemainingMs how much longer it is slow after its start.
 * @property softwareVersion the version of its software, or null if it is not known.
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
    val softwareVersion: String? = null,
) {
    /** Identifies this start of the upstream. */
    val incarnation: Incarnation get() = Incarnation(id, startedAtMs)
}

/** Identifies one start of one upstream. */
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

    public companion object {
        private const val MAX_PORT = 65_535

        /** Parses `HOST:PORT`; returns null if there is no host or the port is not between 1 and 65,535. */
        public fun parse(text: String): Endpoint? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else Endpoint(host, port)
        }
    }
}

/** A phase of a generation. */
public enum class EngineStage {
    PREFILL,
    DECODE,
}
