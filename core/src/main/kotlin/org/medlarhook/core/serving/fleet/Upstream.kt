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
        private const val MAX_PORT_DIGITS = 5
        private const val OCTETS = 4
        private const val MAX_OCTET = 255
        private const val MAX_OCTET_DIGITS = 3

        /** The first octet of addresses of single hosts; before and after are networks, groups and broadcasts. */
        private val HOST_OCTETS = 1..223
        private val HOST_NAME = Regex("[A-Za-z0-9._:\\[\\]-]+")

        /** Parses `HOST:PORT`; returns null if there is no host or the port is not between 1 and 65,535. */
        public fun parse(text: String): Endpoint? {
            val port = digitsOf(text.substringAfterLast(':', ""), MAX_PORT_DIGITS) ?: return null
            val host = text.substringBeforeLast(':')
            return if (!HOST_NAME.matches(host) || port !in 1..MAX_PORT) null else Endpoint(host, port)
        }

        /** Parses `IP:PORT`; returns null also if the host is not the IPv4 address of a single host. */
        public fun parseIp(text: String): Endpoint? =
            parse(text)?.takeIf { endpoint ->
                val octets = endpoint.host.split('.').map { digitsOf(it, MAX_OCTET_DIGITS) }
                octets.size == OCTETS && octets.all { it in 0..MAX_OCTET } && octets.first() in HOST_OCTETS
            }

        /** The value of up to [maxDigits] ASCII digits, without a sign or a leading zero. */
        private fun digitsOf(text: String, maxDigits: Int): Int? =
            text.takeIf {
                it.length in 1..maxDigits &&
                    it.all { digit -> digit in '0'..'9' } &&
                    (it == "0" || it[0] != '0')
            }
                ?.toInt()

        private operator fun IntRange.contains(value: Int?): Boolean = value != null && value in first..last
    }
}

/** A phase of a generation. */
public enum class EngineStage {
    PREFILL,
    DECODE,
}
